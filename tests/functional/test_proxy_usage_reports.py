"""Usage reports through the store and the platform's API."""

import functools

import trio

from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy.usage import collection
from geraniumridge._internal.utils import clock
from lib.failovers import add_proxy_per_domain
from lib import proxies

USAGE = proxy_settings.UsageSettings(
    window_s=1.0, tolerance=0.05, late_s=10.0, lease_s=3.0
)
TAKEOVER_S = 12.0
"""Bound on the time until a successor reports: the end of the lease, its wait
for late calls, and the delay by rank."""


class Collection:
    """Counts that differ on each VM and whenever they are asked for."""

    def __init__(self, node, peers):
        self._vm = node.settings.vm.name
        self._count = 0
        self.reporter = None
        self.counter = None
        self.is_settled = True
        self.window_s = USAGE.window_s

    def start(self, supervisor):
        """Do nothing; there are no tasks."""

    async def finish(self):
        """Do nothing; there are no counts to send."""

    @property
    def clock(self):
        """The windows, by the boot clock."""
        return self

    def set_reporter(self, vm_name):
        """Record the reporter."""
        self.reporter = vm_name

    def make_report(self, window):
        """Return a report with counts of its own."""
        self._count += 1
        return reports.UsageReport(window, {self._vm: self._count})

    def get_window(self, now):
        """Return the window at a clock time."""
        return int(now // USAGE.window_s)

    def get_end(self, window):
        """Return the clock time of a window's end."""
        return (window + 1) * USAGE.window_s


def run_in_fleet(test):
    """Decorate an async test to run it with a proxy in each domain."""

    @functools.wraps(test)
    def run():
        async def main():
            async with proxies.open_cluster() as cluster:
                cluster.usage = USAGE
                cluster.make_usage_collection = Collection
                members = await add_proxy_per_domain(cluster)
                ledger = cluster.promotion_server.usage
                await proxies.wait_until(lambda: ledger.calls, TAKEOVER_S)
                await test(cluster, members, ledger)
                assert not ledger.violations

        trio.run(main)

    # Otherwise pytest takes the wrapped test's arguments for fixtures.
    del run.__wrapped__
    return run


def find_holder(cluster, members):
    """Return the proxy that holds the reporter key, or None."""
    record = cluster.store.get(fleet.USAGE_REPORTER_KEY)
    name = record["vm"] if record else None
    found = [item for item in members if item.settings.vm.name == name]
    return found[0] if found else None


async def wait_successor(cluster, members, ledger, former):
    """Wait until another VM has reported."""
    name = former.settings.vm.name
    await proxies.wait_until(
        lambda: ledger.calls[-1].holder != name, TAKEOVER_S
    )
    assert find_holder(cluster, members) is not former


@run_in_fleet
async def test_each_window_is_reported_once(cluster, members, ledger):
    await trio.sleep(4.0)
    windows = [call.window for call in ledger.calls]
    assert len(windows) >= 4
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    (holder,) = {call.holder for call in ledger.calls}
    (fence,) = {call.fence for call in ledger.calls}
    assert fence == cluster.store.items[fleet.USAGE_REPORTER_KEY]["rev"]
    # All collectors know where to send their counts.
    reporters = {
        item.proxy._usage_reporting._collection.reporter for item in members
    }
    assert reporters == {holder}


@run_in_fleet
async def test_successor_sends_what_a_killed_holder_recorded(
    cluster, members, ledger
):
    """Guards against a recorded window that is lost or counted anew."""
    holder = find_holder(cluster, members)
    reporting = holder.proxy._usage_reporting
    reporting._receiver.connect = trio.sleep_forever
    known = set(holder.node.view.usage_records)
    await proxies.wait_until(
        lambda: set(holder.node.view.usage_records) - known
    )
    holder.stop()
    window = max(set(holder.node.view.usage_records) - known)
    recorded = cluster.store.get(fleet.make_usage_key(window))
    assert window not in ledger.counts
    await wait_successor(cluster, members, ledger, holder)
    await proxies.wait_until(lambda: window in ledger.counts, 5.0)
    assert ledger.counts[window] == recorded["counts"]
    sent = next(item for item in ledger.calls if item.window == window)
    assert sent.fence > recorded["fence"]


@run_in_fleet
async def test_reporter_in_a_domain_that_is_cut_off_is_replaced(
    cluster, members, ledger
):
    """The holder must stop before its successor begins."""
    holder = find_holder(cluster, members)
    others = [item for item in members if item is not holder]
    holder.store_client.is_partitioned = True
    holder.disconnect_peers(others)
    await wait_successor(cluster, members, ledger, holder)
    holder.store_client.is_partitioned = False
    await trio.sleep(2.0)
    assert ledger.calls[-1].holder != holder.settings.vm.name


@run_in_fleet
async def test_reporter_without_the_store_alone_is_replaced(
    cluster, members, ledger
):
    """Guards against a holder whose lease its neighbours renew for it."""
    holder = find_holder(cluster, members)
    holder.store_client.is_partitioned = True
    await wait_successor(cluster, members, ledger, holder)


@run_in_fleet
async def test_lost_answers_and_refusals_are_repeated_exactly(
    cluster, members, ledger
):
    cluster.promotion_server.lose_usage_answers = 2
    cluster.promotion_server.refuse_usage = 1
    first = int(clock.now() // USAGE.window_s)
    await proxies.wait_until(lambda: first + 5 in ledger.counts, 12.0)
    windows = {call.window for call in ledger.calls}
    assert set(range(first, first + 5)) <= windows
    assert len(ledger.calls) > len(windows)


@run_in_fleet
async def test_stopped_reporter_leaves_its_place_at_once(
    cluster, members, ledger
):
    """Guards against windows that wait for the end of a lease."""
    holder = find_holder(cluster, members)
    await holder.proxy._usage_reporting.leave()
    assert find_holder(cluster, members) is None
    await wait_successor(cluster, members, ledger, holder)


@run_in_fleet
async def test_nothing_is_reported_without_the_store(cluster, members, ledger):
    """Guards against reports that nobody has recorded."""
    cluster.store.fault = "busy"
    await trio.sleep(USAGE.lease_s)
    newest = max(ledger.counts)
    await trio.sleep(3.0)
    assert max(ledger.counts) == newest
    cluster.store.fault = None
    await proxies.wait_until(
        lambda: max(ledger.counts) > newest, TAKEOVER_S + 3
    )


def test_no_key_is_written_without_the_settings():
    """Guards against calls of the store that a deployment did not ask for."""

    async def main():
        async with proxies.open_cluster() as cluster:
            cluster.make_usage_collection = Collection
            await cluster.add_proxy()
            await trio.sleep(1.0)
            assert not any(
                key.startswith("geraniumridge/usage/")
                for key in cluster.store.items
            )

    trio.run(main)


def test_counted_requests_are_reported():
    """Guards against parts that work alone and report nothing together."""

    async def main():
        async with proxies.open_cluster() as cluster:
            cluster.usage = USAGE
            cluster.make_usage_collection = collection.Collection
            members = await add_proxy_per_domain(cluster)
            callers = [await cluster.connect(proxy) for proxy in members]
            ledger = cluster.promotion_server.usage
            await proxies.wait_until(lambda: ledger.counts, 30.0)
            for number in range(10):
                for caller in callers:
                    lines = await caller.query(f"WRITE a {number}")
                    assert proxies.is_success(lines)
            await proxies.wait_until(
                lambda: sum(
                    counts.get("team", 0) for counts in ledger.counts.values()
                )
                == 30,
                30.0,
            )
            assert not ledger.violations

    trio.run(main)
