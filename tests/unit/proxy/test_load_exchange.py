"""Loads of targets that travel on queries for changes of the store."""

import types

import pytest
import trio

from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import load_exchange
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.proxy import view_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import metrics
from lib import fleets

messages = datagrams.messages

LARGE_FLEET = 24
"""VMs of a fleet with more of them than slots."""


class Wire:
    """Delivers datagrams between the VMs of one domain and records them."""

    def __init__(self):
        self.endpoints = {}
        self.sent = []


class WirePeers(datagrams.Peers):
    """Datagram endpoint of one VM, without a socket."""

    def __init__(self, wire, port):
        super().__init__(f"127.0.0.1:{port}")
        self._wire = wire
        self.own_address = ("127.0.0.1", port)
        wire.endpoints[self.own_address] = self

    async def send(self, message, address):
        """Deliver a message after encoding and decoding it."""
        message = datagrams.decode(datagrams.encode(message))
        self._wire.sent.append(message)
        endpoint = self._wire.endpoints[tuple(address)]
        await endpoint.dispatch(message, self.own_address)


def make_node(name, vm_count):
    """Return a VM's node; its view lists three targets of three slots."""
    store_view = view.View(lambda key, value: value)
    items = [
        store.Item(f"servers/i-{number}", fleets.make_target(f"i-{number}"), 1)
        for number in (1, 2, 3)
    ]
    items += [
        store.Item(
            fleet.make_member_key(f"vm-{number}"),
            fleets.make_member(f"vm-{number}")._replace(
                address=f"127.0.0.1:{number}"
            ),
            1,
        )
        for number in range(1, vm_count + 1)
    ]
    store_view.replace(clock.now(), store.Listing(tuple(items), 7))
    age = view_age.ViewAge()
    age.confirm(clock.now())
    return types.SimpleNamespace(
        view=store_view,
        view_age=age,
        pools=pool.ConnectionPools(None),
        load_reports=load_reports.LoadReports(),
        metrics=metrics.MetricsRegistry(),
        settings=types.SimpleNamespace(
            vm=types.SimpleNamespace(name=name, domain="north")
        ),
    )


def make_vm(wire, number, vm_count=LARGE_FLEET):
    """Return the node and the view exchange of a VM."""
    node = make_node(f"vm-{number}", vm_count)
    peers = WirePeers(wire, number)
    loads = load_exchange.LoadExchange(node)
    return node, view_exchange.ViewExchange(node, peers, loads)


def occupy(node, target_id, calls):
    """Let calls be outstanding at a target for long."""
    target_load = node.pools.get(target_id).load
    for _ in range(calls):
        target_load.begin(clock.now() - 60.0)


def query_reader(vm_count=LARGE_FLEET, reporters=(2, 3)):
    """Let VMs query vm-1 in turn; return wire, reader and the VMs' nodes."""
    wire = Wire()
    reader, _ = make_vm(wire, 1, vm_count)
    occupy(reader, "i-2", 4)
    nodes = []

    async def main():
        for number in reporters:
            node, exchange = make_vm(wire, number, vm_count)
            occupy(node, "i-1", number)
            await exchange.query(node.view.members["vm-1"])
            nodes.append(node)

    trio.run(main)
    return wire, reader, nodes


def get_calls(node, target_id):
    """Return the calls of other VMs that a VM knows of, None if unknown."""
    found = node.load_reports.get_others(target_id, clock.now())
    return None if found is None else found.calls


def test_vms_learn_the_sum_of_the_others_calls():
    _, reader, (second, third) = query_reader()
    assert get_calls(reader, "i-1") == pytest.approx(5, abs=0.01)
    assert get_calls(third, "i-1") == pytest.approx(2, abs=0.01)
    assert get_calls(third, "i-2") == pytest.approx(4, abs=0.01)
    assert get_calls(third, "i-3") == 0.0
    assert get_calls(second, "i-1") == 0.0


def test_no_message_is_sent_beyond_query_and_answer():
    wire, _, _ = query_reader()
    assert len(wire.sent) == 4


def test_vms_of_a_large_domain_report_less_often(monkeypatch):
    """The reader would spend much of its time on their reports."""
    monkeypatch.setattr(load_exchange, "MAX_REPORTS_PER_S", 23)
    node = make_node("vm-2", LARGE_FLEET)
    occupy(node, "i-1", 1)
    loads = load_exchange.LoadExchange(node)
    now = clock.now()
    reported = []
    for number in range(50):
        monkeypatch.setattr(clock, "now", lambda: now + number * 0.2)
        reported.append(bool(loads.make_report()))
    assert reported[:6] == [True, False, False, False, False, True]
    assert sum(reported) == 10


def test_query_without_a_report_leaves_the_former():
    wire, reader, (second, third) = query_reader()
    query = messages.ChangesQuery(
        number=1, revision=7, last_revision=0, offset=0
    )
    trio.run(wire.endpoints["127.0.0.1", 1].dispatch, query, ("127.0.0.1", 2))
    assert wire.sent[-1].occupancies == []
    assert get_calls(reader, "i-1") == pytest.approx(5, abs=0.01)


def test_small_fleet_reports_nothing():
    """Nine VMs before targets of three slots are served as before."""
    wire, _, (second, _) = query_reader(vm_count=9)
    assert all(not message.occupancies for message in wire.sent)
    assert get_calls(second, "i-1") is None


def test_report_of_a_vm_that_is_no_neighbour_is_ignored():
    wire, reader, _ = query_reader(reporters=(LARGE_FLEET + 1,))
    assert wire.sent[0].occupancies
    assert get_calls(reader, "i-1") is None


def dispatch_report(*entries):
    """Return the reader's node after a report; and its answer."""
    wire = Wire()
    reader, _ = make_vm(wire, 1)
    make_vm(wire, 2)
    query = messages.ChangesQuery(
        number=1,
        revision=7,
        last_revision=0,
        offset=0,
        occupancies=[messages.TargetOccupancy(*entry) for entry in entries],
    )
    trio.run(wire.endpoints["127.0.0.1", 1].dispatch, query, ("127.0.0.1", 2))
    return reader, wire.sent[0]


def test_refused_report_does_not_keep_changes_from_the_vm():
    reader, answer = dispatch_report(("i-1", -5, 300), ("i-2", 5, 300))
    assert answer.revision == 7
    assert answer.occupancies == []
    assert reader.metrics.counters["load_reports_refused"] == 1
    assert get_calls(reader, "i-2") is None


def test_unknown_target_in_a_report_is_left_out():
    """Reports must not let a VM's memory grow."""
    reader, answer = dispatch_report(("unknown", 5, 300), ("i-2", 5000, 300))
    assert get_calls(reader, "i-2") == 5.0
    assert get_calls(reader, "unknown") == 0.0
    assert [item.target for item in answer.occupancies] == [
        "i-1",
        "i-2",
        "i-3",
    ]
    assert not reader.pools.items()


def test_refused_answer_leaves_the_changes_usable():
    wire = Wire()
    node, exchange = make_vm(wire, 2)
    endpoint = WirePeers(wire, 1)

    async def answer_query(query, sender):
        await endpoint.send(
            messages.ChangesAnswer(
                number=query.number,
                revision=7,
                age_ms=5,
                total=0,
                data=b"",
                occupancies=[messages.TargetOccupancy("i-1", 5, -1)],
            ),
            sender,
        )

    endpoint.handle(messages.ChangesQuery, answer_query)

    async def main():
        return await exchange.query(node.view.members["vm-1"])

    assert trio.run(main).changes == store.Changes((), 7)
    assert get_calls(node, "i-1") is None
    assert node.metrics.counters["load_reports_refused"] == 1


def test_vms_of_other_domains_are_counted():
    """Their calls are not in the sums, so a VM has to allow for them."""
    node = make_node("vm-2", LARGE_FLEET)
    moved = tuple(
        store.Item(
            fleet.make_member_key(f"vm-{number}"),
            node.view.members[f"vm-{number}"]._replace(domain="south"),
            8,
        )
        for number in range(17, LARGE_FLEET + 1)
    )
    node.view.apply(clock.now(), store.Changes(moved, 8))
    load_exchange.LoadExchange(node).make_report()
    assert node.load_reports.unseen_ratio == 0.5
