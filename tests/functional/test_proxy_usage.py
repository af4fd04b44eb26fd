"""Requests counted by proxies, and reports of a window's counts."""

import pytest
import trio

from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy.usage import collection
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
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
async def test_a_transaction_counts_as_one_request(cluster, proxy):
    """Guards against counts of statements; the platform bills operations."""
    texts = ["SET zone b", "BEGIN", "WRITE a 1", "READ a", "COMMIT"]
    assert await count_statements(cluster, proxy, texts) == 1
    texts = ["BEGIN", "WRITE a 1", "ROLLBACK", "READ a"]
    assert await count_statements(cluster, proxy, texts) == 2
    assert await count_statements(cluster, proxy, ["BEGIN", "ROLLBACK"]) == 0
    assert await count_statements(cluster, proxy, ["READ a"] * 3) == 3


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


WINDOW_S = 2.0

USAGE = proxy_settings.UsageSettings(
    window_s=WINDOW_S, tolerance=0.05, late_s=8.0, lease_s=3.0
)


async def add_counting_proxy(cluster, name, domain):
    """Start a proxy with usage settings."""
    settings = cluster.make_settings(name, domain)._replace(usage=USAGE)
    return await cluster._start_proxy(proxies.RunningProxy(cluster, settings))


async def wait_window_begins(reporter):
    """Wait until a window begins; return its number."""
    usage_clock = reporter.clock
    window = usage_clock.get_window(clock.now())
    while usage_clock.get_window(clock.now()) == window:
        await trio.sleep(0.01)
    return window + 1


async def wait_result(reporter, window):
    """Return the report of a window, or that it was skipped."""
    due = reporter.clock.get_end(window) + USAGE.late_s
    while clock.now() < due:
        result = reporter.make_report(window)
        if result is not None:
            return result
        await trio.sleep(0.05)
    raise AssertionError(f"window {window} was not decided in time")


async def start_two_domains(cluster):
    """Start two proxies in each of two domains; return them."""
    running = [
        await add_counting_proxy(cluster, f"vm-{number}", domain)
        for number, domain in enumerate(("north", "north", "south", "south"))
    ]
    for proxy in running:
        counting = proxy.proxy.usage_collection
        await proxies.wait_until(lambda: counting.clock.is_settled)
        counting.set_reporter("vm-0")
    return running


async def run_reads(cluster, proxy, count, interval_s=0.0):
    """Run some reads, each of which succeeds."""
    caller = await cluster.connect(proxy, "stock")
    for _ in range(count):
        assert proxies.is_success(await caller.query("READ a"))
        await trio.sleep(interval_s)
    await caller.close()


def count_executed(cluster):
    """Return the requests that the instances ran."""
    return sum(
        len(instance.executed) for instance in cluster.group.instances.values()
    )


def test_report_of_two_domains_is_exact():
    """The sums of the collectors add up to what the targets ran."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            window = await wait_window_begins(reporter)
            executed = count_executed(cluster)
            for count, proxy in enumerate(running, 3):
                await run_reads(cluster, proxy, count)
            await trio.sleep(0.1)
            expected = count_executed(cluster) - executed
            assert reporter.clock.get_window(clock.now()) == window
            result = await wait_result(reporter, window)
            assert result == reports.UsageReport(window, {"team": expected})
            assert expected == 3 + 4 + 5 + 6
            idle = await wait_result(reporter, window + 1)
            assert idle == reports.UsageReport(window + 1, {})

    trio.run(main)


def test_window_before_the_start_is_skipped():
    """Its counts before the start are not known."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            window = reporter.clock.get_window(reporter._started_at)
            result = await wait_result(reporter, window)
            assert result == reports.SkippedWindow(
                window, reports.BEFORE_START
            )

    trio.run(main)


def test_vm_killed_after_few_requests_does_not_prevent_the_report():
    """What it may have counted since its last message is too little."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            window = await wait_window_begins(reporter)
            executed = count_executed(cluster)
            await run_reads(cluster, running[3], 1)
            await run_reads(cluster, running[1], 150)
            await trio.sleep(0.7)
            running[3].stop()
            expected = count_executed(cluster) - executed
            assert reporter.clock.get_window(clock.now()) == window
            result = await wait_result(reporter, window)
            assert result == reports.UsageReport(window, {"team": expected})

    trio.run(main)


def test_window_in_which_a_busy_vm_was_killed_is_skipped():
    """It may have counted many requests since its last message."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            window = await wait_window_begins(reporter)
            await run_reads(cluster, running[3], 100)
            await run_reads(cluster, running[1], 10)
            await trio.sleep(0.7)
            running[3].stop()
            result = await wait_result(reporter, window)
            assert result == reports.SkippedWindow(
                window, reports.MISSING_COUNTS
            )
            later = await wait_result(reporter, window + 2)
            assert later == reports.UsageReport(window + 2, {})

    trio.run(main)


def test_counts_reach_the_reporter_through_the_next_collector():
    """The first one dies before the window ends."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            names = {"vm-2", "vm-3"}
            first = rendezvous.choose_node(collection.COLLECTOR_KEY, names)
            (other,) = names - {first}
            window = await wait_window_begins(reporter)
            await run_reads(cluster, running[int(other[-1])], 53)
            await run_reads(cluster, running[int(first[-1])], 1)
            await run_reads(cluster, running[0], 6)
            await trio.sleep(0.7)
            running[int(first[-1])].stop()
            result = await wait_result(reporter, window)
            assert result == reports.UsageReport(window, {"team": 60})
            later = await wait_window_begins(reporter) + 2
            while reporter.clock.get_window(clock.now()) < later:
                await trio.sleep(0.05)
            await run_reads(cluster, running[int(other[-1])], 7)
            result = await wait_result(reporter, later)
            assert result == reports.UsageReport(later, {"team": 7})

    trio.run(main)


def test_counts_of_a_vm_that_stops_gracefully_are_reported():
    """It sends them before it leaves, and does not hold up the report."""

    async def main():
        async with proxies.open_cluster() as cluster:
            running = await start_two_domains(cluster)
            reporter = running[0].proxy.usage_collection
            window = await wait_window_begins(reporter)
            await run_reads(cluster, running[3], 30)
            await run_reads(cluster, running[1], 5)
            await running[3].proxy._drain()
            running[3].stop()
            assert reporter.clock.get_window(clock.now()) == window
            result = await wait_result(reporter, window)
            assert result == reports.UsageReport(window, {"team": 35})
            decided_at = reporter.clock.get_end(window) + USAGE.late_s / 4
            assert clock.now() < decided_at

    trio.run(main)
