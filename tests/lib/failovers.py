"""Steps of tests that replace primaries in a cluster of `lib.proxies`."""

import trio

from geraniumridge._internal.models import fleet
from geraniumridge._internal.proxy import failover
from lib import proxies
from lib.proxies import is_success

MAX_FAILOVER_S = 15.0
"""Upper bound on a failover, from the design requirements."""

LEAD_KEY = fleet.make_lead_key("ledger")
TARGETS_KEY = fleet.make_targets_key("ledger")


async def wait_startup_delay(cluster):
    """Wait until the proxies may start failovers."""
    await trio.sleep(failover.STARTUP_DELAY_S + 0.2)


async def wait_failover_completed(cluster, timeout_s=5.0):
    """Wait until the group's leadership record is no longer pending."""

    def is_completed():
        lead = cluster.store.get(LEAD_KEY)
        return lead is not None and not lead["is_pending"]

    await proxies.wait_until(is_completed, timeout_s)


async def add_proxy_per_domain(cluster):
    """Start and return proxies, each the only one in its domain."""
    return [
        await cluster.add_proxy(f"vm-{number}", domain)
        for number, domain in enumerate(proxies.DOMAINS)
    ]


async def restart_as(cluster, instance, name):
    """Start an instance that crashed again, under another id."""
    del cluster.group.instances[instance.name]
    instance.name = name
    cluster.group.instances[name] = instance
    await instance.start(cluster.nursery)
    cluster.register(instance)


async def write_until_acknowledged(caller, item, timeout_s=MAX_FAILOVER_S):
    """Repeat a write until it is acknowledged."""
    with trio.fail_after(timeout_s):
        while True:
            lines = await caller.query(f"WRITE {item} data")
            if is_success(lines):
                return
            await trio.sleep(0.05)
