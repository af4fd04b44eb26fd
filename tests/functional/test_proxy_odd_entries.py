"""Entries of other writers in the store, of every kind that a VM reads."""

import json

import pytest
import trio

from geraniumridge._internal.models import fleet
from lib.failovers import wait_startup_delay
from lib.failovers import write_until_acknowledged
from lib import proxies
from lib.proxies import is_success

SERVING_AGAIN_S = 8.0
"""Bound on the time until writes are served; covers a failover without
acknowledgements."""

LEAD_KEY = fleet.make_lead_key("ledger")
ORDER_KEY = fleet.make_order_key("ledger")
TARGETS_KEY = fleet.make_targets_key("ledger")
MEMBER_KEY = fleet.make_member_key("ghost")
SERVER = {
    "service": "ledger",
    "address": "127.0.0.1:9",
    "zone": "north",
    "capacity": 3,
    "state": "ready",
    "dbRole": "replica",
}
LEAD = {"target": "i-0", "term": 1, "holder": "vm-1", "is_pending": False}
MEMBER = {
    "vm": "ghost",
    "domain": "north",
    "address": "127.0.0.1:9",
    "boot": "b",
    "is_settled": True,
}
TARGET = {"id": "i-7", "address": "127.0.0.1:9", "domain": "north"}
ORDER = {"target": "i-1", "fence": 3, "holder": "vm-1"}

UNREADABLE = {
    "nested": "[" * 200_000,
    "nested object": '{"a":' * 100_000,
    "huge number": '{"term": 1' + "0" * 5_000 + "}",
    "infinite": '{"capacity": 1e400, "term": 1e400}',
    "no JSON": "\x00\x01",
    "empty": "",
    "array": "[1, 2]",
    "null": "null",
}
KEYS = (
    "servers/odd",
    "servers/i-1",
    LEAD_KEY,
    ORDER_KEY,
    TARGETS_KEY,
    MEMBER_KEY,
    fleet.make_acknowledgement_key("ledger", "ghost"),
    fleet.make_acknowledgement_key("ledger", "vm-1"),
    fleet.USAGE_REPORTER_KEY,
    fleet.make_usage_key(7),
)
WELL_FORMED = [
    *[
        ("servers/odd", {**SERVER, **fields})
        for fields in (
            {"address": "127.0.0.1:65536"},
            {"address": "127.0.0.1:0"},
            {"address": "nowhere:9"},
            {"address": ":9"},
            {"capacity": 0},
            {"capacity": -3},
            {"capacity": 10**40},
            {"warmupLeftMs": -1},
            {"warmupLeftMs": 1e300},
            {"born": -(2**70)},
            {"zone": ""},
            {"zone": "north\r\nQUERY"},
            {"service": "ledger\r\n"},
            {"state": "resting"},
            {"dbRole": "king"},
        )
    ],
    ("servers/a b\r\nc", SERVER),
    ("servers/", SERVER),
    *[
        (LEAD_KEY, {**LEAD, **fields})
        for fields in (
            {"term": -1},
            {"term": 2**80},
            {"term": 2**40},
            {"target": ""},
            {"target": "i-99"},
            {"target": "a\r\nb"},
            {"is_pending": True, "holder": "///"},
            {"later_field": [1]},
        )
    ],
    *[
        (MEMBER_KEY, {**MEMBER, **fields})
        for fields in (
            {},
            {"address": "127.0.0.1:99999"},
            {"address": "no address"},
            {"address": "::1"},
            {"vm": "vm-1"},
            {"domain": ""},
        )
    ],
    *[
        (TARGETS_KEY, {"targets": [{**TARGET, **fields}]})
        for fields in ({"address": "x"}, {"address": "127.0.0.1:99999"}, {})
    ],
    *[
        (ORDER_KEY, {**ORDER, **fields})
        for fields in ({"fence": -1}, {"fence": 2**80}, {"target": "i-0"})
    ],
    (
        fleet.make_acknowledgement_key("ledger", "x"),
        {"vm": "y", "revision": 9},
    ),
    (
        fleet.make_acknowledgement_key("ledger", "vm-1"),
        {"vm": "vm-1", "revision": 2**80},
    ),
    ("op/evacuate/", {}),
    ("op/evacuate/nowhere", {"a": 1}),
]


async def check_odd_entry(cluster, members, caplog, key, value):
    """Write an entry; check that all VMs follow the store and serve."""
    cluster.store.put(key, value)
    await trio.sleep(0.2)
    for proxy in members:
        caller = await cluster.connect(proxy)
        await write_until_acknowledged(caller, "a", SERVING_AGAIN_S)
        await caller.close()
    version = 100 + cluster.store.revision
    cluster.store.put("op/config", proxies.make_config(version))
    await proxies.wait_until(
        lambda: all(
            proxy.node.view.state.version == version for proxy in members
        ),
        timeout_s=2.0,
    )
    faults = [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "fault"
    ]
    assert not faults, key
    if not key.startswith("geraniumridge/leads/"):
        cluster.store.delete(key)


def run_with_entries(caplog, entries):
    """Run two VMs of different domains while the entries come in turn."""

    async def main():
        async with proxies.open_cluster() as cluster:
            members = [
                await cluster.add_proxy("vm-1", "north"),
                await cluster.add_proxy("vm-2", "south"),
            ]
            await wait_startup_delay(cluster)
            for key, value in entries:
                await check_odd_entry(cluster, members, caplog, key, value)
                if key.startswith("servers/i-"):
                    instance = cluster.group.instances["i-1"]
                    cluster.register(instance)
            caller = await cluster.connect(members[0])
            assert is_success(await caller.query("READ a"))

    trio.run(main)


@pytest.mark.parametrize("key", KEYS)
def test_entry_that_cannot_be_decoded_stops_no_vm(caplog, key):
    """Guards against tasks that an entry of another writer ends."""
    run_with_entries(
        caplog, [(key, text.encode()) for text in UNREADABLE.values()]
    )


@pytest.mark.parametrize(
    "kind",
    ["servers", "leads", "members", "targets", "orders", "releases", "op"],
)
def test_entry_with_values_out_of_bounds_stops_no_vm(caplog, kind):
    """Guards against well-formed values that no VM or instance writes."""
    entries = [
        (key, json.dumps(data).encode())
        for key, data in WELL_FORMED
        if kind in key.split("/")
    ]
    assert entries
    run_with_entries(caplog, entries)
