"""Requests counted by proxies, and reports of a window's counts."""

import pytest
import trio

from lib import proxies


class RecordingCounter:
    """Records what is counted."""

    def __init__(self):
        self.balance = 0
        self.times = []

    def note_begun(self, team, now):
        """Record a request."""
        assert team == "team"
        self.balance += 1
        self.times.append(now)

    def note_refused(self, team, sent_at):
        """Record that a request did not run."""
        assert team == "team"
        assert sent_at in self.times
        self.balance -= 1


async def count_statements(cluster, proxy, texts, database="orders"):
    """Return by how much some statements increase the count."""
    proxy.node.usage_counter = RecordingCounter()
    caller = await cluster.connect(proxy, database)
    for text in texts:
        await caller.query(text)
    await caller.close()
    return proxy.node.usage_counter.balance


@proxies.run_in_cluster
async def test_reads_writes_and_commit_count_once_each(cluster, proxy):
    """BEGIN, ROLLBACK and the restored session state do not."""
    texts = ["SET zone b", "BEGIN", "WRITE a 1", "READ a", "COMMIT"]
    assert await count_statements(cluster, proxy, texts) == 3
    texts = ["BEGIN", "WRITE a 1", "ROLLBACK", "READ a"]
    assert await count_statements(cluster, proxy, texts) == 2


@pytest.mark.parametrize("code, is_counted", [("BUSY", 0), ("INTERNAL", 1)])
def test_only_refusals_that_say_so_do_not_count(code, is_counted):
    """A target that was full did not begin to run the statement."""

    async def main():
        async with proxies.open_cluster() as cluster:
            proxy = await cluster.add_proxy()
            for instance in cluster.group.instances.values():
                instance.read_error = code
            count = await count_statements(cluster, proxy, ["READ a"])
            sent = len(proxy.node.usage_counter.times)
            assert sent > 0
            assert count == sent * is_counted

    trio.run(main)


@proxies.run_in_cluster
async def test_statement_whose_answer_is_lost_counts(cluster, proxy):
    """The target may have begun to run it."""
    caller = await cluster.connect(proxy)
    assert proxies.is_success(await caller.query("WRITE a 1"))
    proxy.node.usage_counter = RecordingCounter()
    primary = proxy.node.primary_resolver.find_primary("ledger")
    proxy.dialect.unreachable_targets.add(primary.id)
    assert not proxies.is_success(await caller.query("WRITE a 2"))
    assert proxy.node.usage_counter.balance == 1


@proxies.run_in_cluster
async def test_nothing_is_counted_without_the_settings(cluster, proxy):
    assert proxy.settings.usage is None
    assert proxy.node.usage_counter is None
    caller = await cluster.connect(proxy)
    assert proxies.is_success(await caller.query("WRITE a 1"))
