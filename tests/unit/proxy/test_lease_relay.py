"""Renewal of a lease by a neighbour."""

import types

import pytest
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import lease_relay
from lib import fleets

messages = datagrams.messages
NEIGHBOUR = fleets.make_member("vm-2")


class FakePeers:
    """Passes requests to the neighbour's handler, and answers back."""

    def __init__(self):
        self.handlers = {}
        self.answered = None
        self.answer = None

    def handle(self, message_type, handler):
        """Register a handler."""
        self.handlers[message_type] = handler

    async def send(self, message, address):
        """Deliver the neighbour's answer."""
        self.answer = message
        self.answered.set()

    async def query(self, query, member, timeout_s):
        """Let the neighbour answer a query."""
        assert member is NEIGHBOUR
        query.number = 1
        self.answer = None
        self.answered = trio.Event()
        await self.handlers[type(query)](query, ("127.0.0.1", 1))
        with trio.move_on_after(timeout_s):
            await self.answered.wait()
        return self.answer


class FakeStore:
    """Store whose renewals fail with a given error, if any."""

    def __init__(self, error=None):
        self.error = error
        self.renewed = []

    async def renew_lease(self, lease):
        """Renew a lease, or fail."""
        if self.error is not None:
            raise self.error
        self.renewed.append(lease)


async def renew(store, neighbour=NEIGHBOUR):
    """Renew lease 7 of vm-1 through a neighbour with this store."""
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(vm=types.SimpleNamespace(name="vm-1")),
        view=types.SimpleNamespace(members={"vm-1": None, "vm-2": NEIGHBOUR}),
    )
    exchange = types.SimpleNamespace(
        find_confirming_neighbour=lambda: neighbour
    )
    relay = lease_relay.LeaseRelay(node, store, FakePeers(), exchange)
    async with trio.open_nursery() as nursery:
        relay.start(nursery)
        return await relay.renew(7)


def test_neighbour_renews_the_lease():
    store = FakeStore()
    assert trio.run(renew, store)
    assert store.renewed == [7]


def test_lease_that_has_ended_is_lost():
    with pytest.raises(BaseExceptionGroup) as caught:
        trio.run(renew, FakeStore(exceptions.LeaseLostError("ended")))
    assert caught.group_contains(exceptions.LeaseLostError)


def test_neighbour_that_does_not_reach_the_store_renews_nothing():
    store = FakeStore(exceptions.PlatformUnavailableError("down"))
    assert not trio.run(renew, store)


def test_without_a_neighbour_nothing_is_renewed():
    assert not trio.run(renew, FakeStore(), None)
