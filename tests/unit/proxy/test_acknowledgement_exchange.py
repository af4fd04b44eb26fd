"""Acknowledgements on their way between two VMs, and what they tell."""

import types

import trio

from geraniumridge._internal.decisions import succession
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import acknowledgement_exchange
from lib import fleets

BOUND = fleet.CommitBound("boot", 3, 1207, 41, 43)
REVISION = 50


class ConnectedPeers:
    """Peers whose queries another VM's handler answers at once."""

    def __init__(self):
        self.handlers = {}
        self.other = None
        self.receipts = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    async def send(self, message, address):
        self.receipts.append(message)

    async def query(self, message, member, timeout_s, max_timeout_s):
        message.number = 1
        received = datagrams.decode(datagrams.encode(message))
        await self.other.handlers[type(received)](received, None)
        return self.other.receipts.pop() if self.other.receipts else None


def make_exchange(vm, bound=None):
    """Return a VM's exchange, its peers and its acknowledgements."""
    members = {name: fleets.make_member(name) for name in ("vm-1", "vm-2")}
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(vm=types.SimpleNamespace(name=vm)),
        view=types.SimpleNamespace(
            members=members,
            state=types.SimpleNamespace(groups={"ledger": None}),
        ),
        acknowledgements=succession.Acknowledgements(),
        make_commit_bound=lambda group: bound,
    )
    peers = ConnectedPeers()
    exchange = acknowledgement_exchange.AcknowledgementExchange(node, peers)
    return exchange, peers, node.acknowledgements


def deliver(bound, holder):
    """Deliver vm-1's acknowledgement; return the holder's record."""
    exchange, peers, own = make_exchange("vm-1", bound)
    _, peers.other, received = make_exchange("vm-2")
    assert trio.run(exchange.deliver, "ledger", REVISION, f"{holder}/boot")
    return own if holder == "vm-1" else received


def test_bound_reaches_the_vm_that_runs_the_failover():
    for holder in ("vm-1", "vm-2"):
        record = deliver(BOUND, holder)
        told = list(record.list_bounds("ledger", REVISION))
        assert told == [("vm-1", BOUND)]


def test_vm_that_knows_no_bound_acknowledges_without_one():
    record = deliver(None, "vm-2")
    assert record.has("vm-1", "ledger", REVISION)
    assert not list(record.list_bounds("ledger", REVISION))
