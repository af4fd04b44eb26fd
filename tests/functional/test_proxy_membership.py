"""Registration of a VM that starts, and of one that starts again."""

import pytest
import trio

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.models import fleet
from lib import proxies

MEMBER_KEY = fleet.make_member_key("vm-1")


async def wait_stable(proxy):
    """Wait until a proxy is a stable member."""
    await proxies.wait_until(
        lambda: proxy.node.view.members["vm-1"].is_settled,
        limit_holders.STABLE_AFTER_S + 3.0,
    )


@pytest.mark.parametrize("was_removed", [False, True])
def test_vm_that_starts_again_is_stable_if_its_entry_is_still_there(
    was_removed,
):
    """No other VM can have become a limiter in its place then."""

    async def main():
        async with proxies.open_cluster() as cluster:
            former = await cluster.add_proxy("vm-1")
            await wait_stable(former)
            former.stop()
            if was_removed:
                cluster.store.delete(MEMBER_KEY)
            restarted = await cluster.restart_proxy(former, "boot-2")
            member = restarted.node.view.members["vm-1"]
            assert member.boot == "boot-2"
            assert member.is_settled is not was_removed
            await trio.sleep(2.0)
            assert cluster.store.get(MEMBER_KEY)["boot"] == "boot-2"

    trio.run(main)


@proxies.run_in_cluster
async def test_error_in_a_periodic_check_does_not_end_the_daemon(
    cluster, proxy
):
    """It is logged, and the check runs again."""
    expire = proxy.node.view.expire
    calls = []

    def fail_once(now):
        calls.append(now)
        if len(calls) == 1:
            raise KeyError("unexpected")
        expire(now)

    proxy.node.view.expire = fail_once
    await proxies.wait_until(lambda: len(calls) > 3)
    caller = await cluster.connect(proxy)
    assert proxies.is_success(await caller.query("WRITE a 1"))


def test_withdrawn_key_and_departed_target_stay_gone_after_a_restart():
    """The neighbour passes changes on, and the store has forgotten others."""

    async def main():
        async with proxies.open_cluster() as cluster:
            await cluster.add_proxy("vm-0")
            former = await cluster.add_proxy("vm-1")
            caller = await cluster.connect(former, "stock")
            assert proxies.is_success(await caller.query("READ a"))
            tenants = proxies.make_config()["tenants"]
            tenants[0]["apiKeys"] = ["new"]
            cluster.store.put(
                "op/config", proxies.make_config(2, tenants=tenants)
            )
            cluster.store.delete("servers/i-2")
            await proxies.wait_until(
                lambda: "i-2" not in former.node.view.targets
            )
            former.stop()
            restarted = await cluster.restart_proxy(former, "boot-2")
            for _ in range(20):
                assert "i-2" not in restarted.node.view.targets
                assert "key" not in restarted.node.view.state.keys
                await trio.sleep(0.05)
            refused = proxies.Caller(restarted.settings.listen.callers)
            await refused.open()
            assert await refused.start_session("stock", "key") != "READY I -"
            admitted = await cluster.connect(restarted, "stock", "new")
            assert proxies.is_success(await admitted.query("READ a"))

    trio.run(main)
