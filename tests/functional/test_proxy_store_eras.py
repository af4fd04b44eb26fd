"""Proxies whose store comes back from a backup, in a new era."""

import functools

import trio

from geraniumridge._internal.models import revisions
from geraniumridge._internal.proxy import lead_renewal
from geraniumridge._internal.utils import clock
from lib.failovers import add_proxy_per_domain
from lib.failovers import LEAD_KEY
from lib.failovers import MAX_FAILOVER_S
from lib.failovers import wait_failover_completed
from lib.failovers import wait_startup_delay
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success

CONFIGURATION_BOUND_S = 8.0
"""Time in which a new configuration is in force after a restore, from the
design requirements."""


def run_with_eras(test):
    """Decorate an async test to run it in a cluster whose store tells eras.

    It gets a proxy in each domain, once each has a primary.
    """

    @functools.wraps(test)
    def run():
        async def main():
            async with proxies.open_cluster() as cluster:
                cluster.store.era = 1
                running = await add_proxy_per_domain(cluster)
                await wait_failover_completed(
                    cluster, lead_renewal.UNKNOWN_FORMER_DELAY_S + 2.0
                )
                await test(cluster, *running)

        trio.run(main)

    del run.__wrapped__
    return run


def has_primary(proxy, target):
    found = proxy.node.primary_resolver.find_usable_primary(
        "ledger", clock.now()
    )
    return found is not None and found.id == target


async def move_primary(cluster, running):
    """Replace the primary i-0 by evacuating its domain for a moment."""
    await wait_startup_delay(cluster)
    cluster.store.put("op/evacuate/north", {})
    await proxies.wait_until(
        lambda: cluster.promotion_server.promotion_calls, MAX_FAILOVER_S
    )
    await wait_failover_completed(cluster, MAX_FAILOVER_S)
    cluster.store.delete("op/evacuate/north")
    target = cluster.store.get(LEAD_KEY)["target"]
    assert target != "i-0"
    for proxy in running:
        await proxies.wait_until(functools.partial(has_primary, proxy, target))
    return target


def withdraw_key(cluster, version):
    team = {**proxies.make_config()["tenants"][0], "apiKeys": ["other"]}
    cluster.store.put(
        "op/config", proxies.make_config(version, tenants=[team])
    )


async def wait_key_refused(cluster, proxy):
    caller = proxies.Caller(proxy.settings.listen.callers)
    await caller.open()
    await proxies.wait_until(
        lambda: "key" not in proxy.node.view.state.keys, CONFIGURATION_BOUND_S
    )
    assert (await caller.start_session("orders", "key")).startswith("ERROR")


@run_with_eras
async def test_key_withdrawn_after_a_restore_is_refused(cluster, *running):
    """Guards against a change that has the number of a lost one."""
    backup = cluster.store.make_backup()
    for number in range(10):
        cluster.store.put("op/config", proxies.make_config(2 + number))
    await proxies.wait_until(
        lambda: all(item.node.view.state.version == 11 for item in running)
    )
    await cluster.store.restore(backup, away_s=0.5)
    while cluster.store.revision < backup.revision + 9:
        cluster.store.put("op/other", {})
    withdraw_key(cluster, 12)
    for proxy in running:
        await wait_key_refused(cluster, proxy)


@run_with_eras
async def test_key_withdrawn_before_a_restore_stays_so(cluster, *running):
    """Guards against a configuration that returns with the backup."""
    backup = cluster.store.make_backup()
    withdraw_key(cluster, 2)
    for proxy in running:
        await wait_key_refused(cluster, proxy)
    await cluster.store.restore(backup, rewrites={})
    assert "key" in cluster.store.get("op/config")["tenants"][0]["apiKeys"]
    await proxies.wait_until(
        lambda: all(item.node.view.era == 2 for item in running)
    )
    for proxy in running:
        await wait_key_refused(cluster, proxy)


@run_with_eras
async def test_vm_that_joins_after_a_restore_uses_the_present_primary(
    cluster, *running
):
    """Guards against reads of a former primary, as the backup names it."""
    backup = cluster.store.make_backup()
    assert cluster.store.get(LEAD_KEY)["target"] == "i-0"
    target = await move_primary(cluster, running)
    await cluster.store.restore(backup)
    assert cluster.store.get(LEAD_KEY)["target"] == "i-0"
    newcomer = await cluster.add_proxy("vm-9", "south")
    for number in range(60):
        for proxy in (newcomer, *running):
            found = proxy.node.primary_resolver.find_usable_primary(
                "ledger", clock.now()
            )
            assert found is None or found.id == target
        await trio.sleep(0.02)
    await proxies.wait_until(lambda: has_primary(newcomer, target))
    assert len(cluster.promotion_server.promotion_calls) == 1


@run_with_eras
async def test_statements_go_on_over_a_short_restore(cluster, *running):
    """A VM relies on what the former era told it until the record is new."""
    backup = cluster.store.make_backup()
    await move_primary(cluster, running)
    caller = await cluster.connect(running[1])
    await cluster.store.restore(backup)
    with trio.move_on_after(1.5):
        while True:
            assert is_success(await caller.query("WRITE a 1"))
            await trio.sleep(0.02)
    assert cluster.store.get(LEAD_KEY)["era"] == 2


@run_with_eras
async def test_primary_that_crashes_with_a_restore_is_replaced(
    cluster, *running
):
    """Guards against a return to the primary that the backup names."""
    backup = cluster.store.make_backup()
    target = await move_primary(cluster, running)
    caller = await cluster.connect(running[0])
    assert is_success(await caller.query("WRITE a 1"))
    cluster.group.instances[target].crash()
    await cluster.store.restore(backup)
    newcomer = await cluster.add_proxy("vm-9", "south")
    caller = await cluster.connect(newcomer)
    await write_until_acknowledged(caller, "after")
    assert (await caller.query("READ a"))[0] == "ROW 1"


@run_with_eras
async def test_fencing_tokens_rise_over_two_restores(cluster, *running):
    """Guards against orders with a token below that of an earlier order."""
    backup = cluster.store.make_backup()
    await move_primary(cluster, running)
    for _ in range(2):
        await cluster.store.restore(backup, away_s=0.2)
        await wait_startup_delay(cluster)
        calls = len(cluster.promotion_server.promotion_calls)
        primary = next(
            item
            for item in cluster.group.instances.values()
            if item.role == "primary"
        )
        cluster.store.put(f"op/evacuate/{primary.domain}", {})
        await proxies.wait_until(
            lambda: len(cluster.promotion_server.promotion_calls) > calls,
            MAX_FAILOVER_S,
        )
        await wait_failover_completed(cluster, MAX_FAILOVER_S)
        cluster.store.delete(f"op/evacuate/{primary.domain}")
    fences = [order.fence for order in cluster.promotion_server.orders]
    assert fences == sorted(set(fences))
    assert [revisions.get_era(item) for item in fences] == [1, 2, 3]


@run_with_eras
async def test_vm_that_the_store_turns_away_stops_in_time(cluster, *running):
    """Guards against a VM that serves on what a former era told it."""
    backup = cluster.store.make_backup()
    await move_primary(cluster, running)
    lonely = running[2]
    lonely.store_client.is_partitioned = True
    await cluster.store.restore(backup)
    withdraw_key(cluster, 5)
    await proxies.wait_until(
        lambda: lonely.node.view_age.get_age(clock.now())
        > lonely.node.max_key_age_s,
        CONFIGURATION_BOUND_S,
    )
    caller = proxies.Caller(lonely.settings.listen.callers)
    await caller.open()
    assert (await caller.start_session("orders", "key")).startswith("ERROR")
    lonely.store_client.is_partitioned = False
    await wait_key_refused(cluster, lonely)
