"""Queries and notifications between VMs about their store views."""

import random
import types

import trio

from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import follower
from geraniumridge._internal.proxy import view_exchange
from geraniumridge._internal.utils import clock
from lib import fleets

messages = datagrams.messages
ADDRESSES = {"vm-1": ("127.0.0.1", 1), "vm-2": ("127.0.0.1", 2)}


class FakeWire:
    """Delivers datagrams between VMs immediately and records them."""

    def __init__(self):
        self.sent = []
        self.endpoints = {}
        self.is_cut = False
        self.exchanges = {}

    def is_lost(self, message):
        """Return whether a message is lost; tests replace it."""
        return False

    def add(self, vm):
        """Return the datagram endpoint of a VM."""
        endpoint = FakePeers(self, ADDRESSES[vm])
        self.endpoints[ADDRESSES[vm]] = endpoint
        return endpoint


class FakePeers(datagrams.Peers):
    """Datagram endpoint of one VM, without a socket."""

    def __init__(self, wire, address):
        super().__init__(f"{address[0]}:{address[1]}")
        self._wire = wire
        self._sender = address

    async def send(self, message, address):
        """Deliver a message after encoding and decoding it."""
        if self._wire.is_cut:
            return
        message = datagrams.decode(datagrams.encode(message))
        self._wire.sent.append(message)
        if self._wire.is_lost(message):
            return
        await self._wire.endpoints[tuple(address)].dispatch(
            message, self._sender
        )


def make_view_exchange(wire, vm):
    """Return a VM's node and view exchange.

    The node's store view lists both VMs and was read at revision 7.
    """
    store_view = view.View(lambda key, value: value)
    items = tuple(
        store.Item(
            fleet.make_member_key(name),
            fleets.make_member(name)._replace(address=f"{host}:{port}"),
            number,
        )
        for number, (name, (host, port)) in enumerate(ADDRESSES.items(), 1)
    )
    store_view.replace(clock.now(), store.Listing(items, 7))
    node = types.SimpleNamespace(
        view=store_view,
        view_age=view_age.ViewAge(),
        settings=types.SimpleNamespace(
            vm=types.SimpleNamespace(name=vm, domain="north")
        ),
    )
    wire.exchanges[vm] = view_exchange.ViewExchange(node, wire.add(vm))
    return node, wire.exchanges[vm]


def run_pair(test):
    """Run an async test with two VMs that share a wire.

    Its arguments are the wire, node and view exchange of vm-1, and the
    node of vm-2.
    """

    async def main():
        wire = FakeWire()
        asker, exchange = make_view_exchange(wire, "vm-1")
        other, _ = make_view_exchange(wire, "vm-2")
        await test(wire, asker, exchange, other)

    trio.run(main)


def put(node, revision, key, value):
    item = store.Item(key, value, revision)
    node.view.apply(clock.now(), store.Changes((item,), revision))


async def query_confirmed(asker, exchange, other):
    """Query vm-2, whose view has just been confirmed."""
    other.view_age.confirm(clock.now())
    return await exchange.query(asker.view.members["vm-2"])


def test_answer_without_changes_holds_revision_and_age():
    async def test(wire, asker, exchange, other):
        other.view_age.confirm(clock.now() - 0.5)
        status = await exchange.query(asker.view.members["vm-2"])
        assert status.changes == store.Changes((), 7)
        assert 0.5 <= status.age_s < 0.6
        assert exchange.has_recent_answer(clock.now())

    run_pair(test)


def test_changes_are_passed_on_in_order():
    async def test(wire, asker, exchange, other):
        put(other, 8, "a", b"1")
        put(other, 9, "a", None)
        put(other, 11, "b", b"\xff\x00")
        status = await query_confirmed(asker, exchange, other)
        assert status.changes == store.Changes(
            (
                store.Item("a", b"1", 8),
                store.Item("a", None, 9),
                store.Item("b", b"\xff\x00", 11),
            ),
            11,
        )

    run_pair(test)


def test_large_change_is_passed_on_in_parts_of_one_batch():
    """Another change comes meanwhile, and a part is lost."""
    value = random.Random(1).randbytes(5 * view_exchange.MAX_PART_BYTES)

    async def test(wire, asker, exchange, other):
        put(other, 8, "large", value)

        def note(message):
            if isinstance(message, messages.ChangesAnswer):
                put(other, 8 + len(wire.sent), "more", b"1")
            return len(wire.sent) == 5

        wire.is_lost = note
        status = await query_confirmed(asker, exchange, other)
        assert status.changes.items == (store.Item("large", value, 8),)
        assert status.changes.revision == 8

    run_pair(test)


def test_changes_before_the_neighbours_listing_are_unknown():
    async def test(wire, asker, exchange, other):
        other.view.replace(clock.now(), store.Listing((), 20))
        put(other, 21, "a", b"1")
        status = await query_confirmed(asker, exchange, other)
        assert status.changes is None

    run_pair(test)


def test_batch_that_cannot_be_decoded_is_no_answer_of_changes():
    async def test(wire, asker, exchange, other):
        put(other, 8, "a", b"1")
        other_exchange = wire.exchanges["vm-2"]
        other_exchange._batches[7, 8] = b"no batch"
        status = await query_confirmed(asker, exchange, other)
        assert status.changes is None

    run_pair(test)


def test_two_vms_do_not_confirm_each_others_views():
    async def test(wire, asker, exchange, other):
        wire.exchanges["vm-2"].note_confirmed("vm-1")
        status = await query_confirmed(asker, exchange, other)
        assert status.age_s > follower.MAX_READER_VIEW_AGE_S
        wire.exchanges["vm-2"].note_confirmed(None)
        status = await query_confirmed(asker, exchange, other)
        assert status.age_s < 0.1

    run_pair(test)


def test_notification_names_the_neighbour_that_sent_it():
    async def test(wire, asker, exchange, other):
        await wire.exchanges["vm-2"].notify_domain()
        assert await exchange.wait_notification() == "vm-2"
        exchange.wake()
        assert await exchange.wait_notification() is None

    run_pair(test)


def test_vm_without_a_store_view_does_not_answer():
    async def test(wire, asker, exchange, other):
        assert await exchange.query(asker.view.members["vm-2"]) is None

    run_pair(test)


def test_vm_without_a_store_view_may_send_notifications():
    async def test(wire, asker, exchange, other):
        await exchange.notify_all()
        assert wire.sent == [messages.ChangeNotification(vm="vm-1")]

    run_pair(test)


def test_lost_query_times_out():
    async def test(wire, asker, exchange, other):
        other.view_age.confirm(clock.now())
        wire.is_cut = True
        with trio.fail_after(1):
            assert await exchange.query(asker.view.members["vm-2"]) is None

    run_pair(test)


def test_late_answer_to_an_earlier_query_is_ignored():
    """The age in it was measured for an earlier query."""

    async def test(wire, asker, exchange, other):
        endpoint = wire.endpoints[ADDRESSES["vm-1"]]
        late = messages.ChangesAnswer(
            number=0, revision=7, age_ms=1, total=0, data=b""
        )
        await endpoint.dispatch(late, ADDRESSES["vm-2"])
        assert not exchange.has_recent_answer(clock.now())

    run_pair(test)
