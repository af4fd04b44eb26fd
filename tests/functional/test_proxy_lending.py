"""Connections that VMs lend to each other in a fleet larger than a limit."""

import trio

from geraniumridge._internal.decisions import connection_lending
from geraniumridge._internal.proxy.lending import borrower
from lib.failovers import wait_failover_completed
from lib.failovers import wait_startup_delay
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success

MAX_CONNECTIONS = 4
"""Limit of each target; three VMs cannot keep one open each."""

FORWARD_AGE_S = 1.0
"""Age up to which statements are passed on, and the time to connect to a
lender. On a busy machine the usual times would end loans by chance."""


def find_lenders(proxy):
    """Return a VM's lenders of the target in the north."""
    target = proxy.node.view.targets["i-0"]
    return proxy.proxy._borrower.find_lenders(target)


def run_with_lenders(test):
    """Run an async test in a cluster whose VM in the north lends to others."""

    def run(monkeypatch):
        monkeypatch.setattr(
            connection_lending, "MAX_FORWARD_AGE_S", FORWARD_AGE_S
        )
        monkeypatch.setattr(
            borrower, "LENDER_CONNECT_TIMEOUT_S", FORWARD_AGE_S
        )
        monkeypatch.setattr(borrower, "LOAN_TIMEOUT_S", FORWARD_AGE_S)

        async def main():
            async with proxies.open_cluster() as cluster:
                services = [
                    {
                        "name": "ledger",
                        "maxConns": MAX_CONNECTIONS,
                        "syncReplicas": 1,
                    }
                ]
                cluster.store.put(
                    "op/config",
                    proxies.make_config(
                        2, services=services, limits={"txIdleMs": 10_000}
                    ),
                )
                members = [
                    await cluster.add_proxy("vm-north", "north"),
                    await cluster.add_proxy("vm-south", "south"),
                    await cluster.add_proxy("vm-west", "west"),
                ]
                await proxies.wait_until(
                    lambda: all(
                        find_lenders(proxy) == ("vm-north",)
                        for proxy in members
                    )
                )
                await test(cluster, *members)

        trio.run(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


def count_loans(proxy):
    """Return how many connections other VMs have lent to a VM so far."""
    return proxy.node.metrics.counters.get("loans:granted", 0)


def record_openings(members):
    """Return a list that gets the target of each connection of a team."""
    opened = []

    def record(proxy):
        original = proxy.dialect.open

        async def open_connection(target, team, timeout_s):
            if team == "team":
                opened.append(target.id)
            return await original(target, team, timeout_s)

        proxy.dialect.open = open_connection

    for proxy in members:
        record(proxy)
    return opened


@run_with_lenders
async def test_vms_use_one_connection_to_a_target_in_turn(
    cluster, lender, second, third
):
    """Guards against a new connection for each statement."""
    opened = record_openings([lender, second, third])
    callers = [
        await cluster.connect(proxy) for proxy in (lender, second, third)
    ]
    for number in range(6):
        for caller in callers:
            assert is_success(await caller.query(f"WRITE a {number}"))
    assert opened == ["i-0"]
    assert count_loans(second) == 6
    assert second.node.pools.get("i-0").borrowed_count == 0


@run_with_lenders
async def test_session_state_of_another_vm_does_not_reach_a_statement(
    cluster, lender, second, third
):
    """Guards against values and prepared statements of another session."""
    one = await cluster.connect(second)
    other = await cluster.connect(third)
    assert is_success(await one.query("SET zone 1"))
    assert is_success(await one.query("PREPARE p WRITE first"))
    assert is_success(await one.query("EXECUTE p a 1"))
    assert is_success(await other.query("PREPARE p WRITE second"))
    assert is_success(await other.query("EXECUTE p a 2"))
    assert is_success(await other.query("WRITE a 3"))
    values = [item[2] for item in cluster.group.instances["i-0"].executed]
    assert values == [{"zone": "1"}, {}, {}]


@run_with_lenders
async def test_transaction_over_a_lender_is_rolled_back_with_its_vm(
    cluster, lender, second, third
):
    """Guards against an open transaction of a VM that has lost power."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    pool = lender.node.pools.get("i-0")
    assert pool.idle_count < pool.size
    (connection,) = second.node.pools.get("i-0")._borrowed
    connection.link.abort()
    second.stop()
    await proxies.wait_until(lambda: pool.idle_count == pool.size)
    other = await cluster.connect(third)
    assert is_success(await other.query("WRITE b 1"))
    assert "a" not in cluster.group.instances["i-0"].data


@run_with_lenders
async def test_vm_without_its_lender_opens_connections(
    cluster, lender, second, third
):
    """Guards against statements that depend on one other VM."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("WRITE a 1"))
    lender.stop()
    await lender.ended.wait()
    assert is_success(await caller.query("WRITE a 2"))
    assert count_loans(second) == 1


@run_with_lenders
async def test_statement_that_is_late_at_the_lender_is_not_passed_on(
    cluster, lender, second, third
):
    """Guards against reads and writes checked on knowledge that is too old."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    (connection,) = second.node.pools.get("i-0")._borrowed
    await trio.sleep(2.5 * FORWARD_AGE_S)
    # As if the statement had left that much earlier.
    connection.link.transport._granted_at += 2 * FORWARD_AGE_S
    lines = await caller.query("WRITE a 2")
    assert lines[-1].startswith("ERROR ABORTED")
    assert is_success(await caller.query("ROLLBACK"))
    assert is_success(await caller.query("WRITE a 3"))
    assert cluster.group.instances["i-0"].data["a"] == "3"


@run_with_lenders
async def test_rollback_that_is_late_at_the_lender_ends_the_loan(
    cluster, lender, second, third
):
    """Guards against a session that fails and a connection that is kept."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    pool = second.node.pools.get("i-0")
    (connection,) = pool._borrowed
    await trio.sleep(2.5 * FORWARD_AGE_S)
    connection.link.transport._granted_at += 2 * FORWARD_AGE_S
    assert is_success(await caller.query("ROLLBACK"))
    assert pool.borrowed_count == 0
    assert is_success(await caller.query("WRITE a 2"))


@run_with_lenders
async def test_target_that_leaves_during_a_loan_keeps_its_pool(
    cluster, lender, second, third
):
    """Guards against a borrowed connection in a pool that has been removed."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    pool = second.node.pools.get("i-0")
    view = second.node.view
    targets = dict(view.targets)
    del targets["i-0"]

    class ViewWithoutTarget:
        """View that the target has left."""

        def __init__(self):
            self.targets = targets

    second.node.pools.close_unused(ViewWithoutTarget(), 0.0)
    assert second.node.pools.get("i-0") is pool
    assert is_success(await caller.query("COMMIT"))
    assert pool.borrowed_count == 0


@run_with_lenders
async def test_request_that_waits_as_a_lender_stops_is_waited_for(
    cluster, lender, second, third
):
    """Guards against a loan that begins after the end of the stop."""
    opened = trio.Event()
    original = lender.dialect.open

    async def open_slowly(target, team, timeout_s):
        opened.set()
        await trio.sleep(0.2)
        return await original(target, team, timeout_s)

    lender.dialect.open = open_slowly
    caller = await cluster.connect(second)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.query, "WRITE a 1")
        await opened.wait()
        lender.proxy._lender.stop()
        await lender.proxy._lender.wait_idle()
        assert cluster.group.instances["i-0"].data["a"] == "1"


@run_with_lenders
async def test_lender_that_does_not_answer_does_not_refuse_a_statement(
    cluster, lender, second, third
):
    """Guards against refusals because of one VM that is suspended."""

    async def ignore(channel, request):
        await trio.sleep_forever()

    lender.proxy._lender._serve_request = ignore
    # The route's time limit is 1 s.
    borrower.LOAN_TIMEOUT_S = 0.2
    caller = await cluster.connect(second)
    lines = await caller.query("WRITE a 1")
    assert is_success(lines), lines


@run_with_lenders
async def test_planned_stop_of_a_lender_ends_no_statement(
    cluster, lender, second, third
):
    """Guards against loans that a lender cuts off as it stops."""
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    lender.proxy._lender.stop()
    assert is_success(await caller.query("WRITE a 2"))
    assert is_success(await caller.query("COMMIT"))
    with trio.fail_after(1):
        await lender.proxy._lender.wait_idle()
    assert is_success(await caller.query("WRITE a 3"))


@run_with_lenders
async def test_lender_that_gives_a_primary_up_ends_its_loans(
    cluster, lender, second, third
):
    """Guards against writes at a former primary through another VM."""
    await wait_startup_delay(cluster)
    caller = await cluster.connect(second)
    assert is_success(await caller.query("BEGIN"))
    assert is_success(await caller.query("WRITE a 1"))
    cluster.register(cluster.group.instances["i-0"], state="draining")
    await wait_failover_completed(cluster)
    lines = await caller.query("COMMIT")
    assert lines[-1].startswith("ERROR ")
    await write_until_acknowledged(await cluster.connect(third), "b")
    assert "a" not in cluster.group.instances["i-0"].data
