"""Log positions that the VMs of a domain pass to each other."""

import types

import trio

from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.decisions import roster
from geraniumridge._internal.models import records
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import position_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from lib import fleets

VMS = ("vm-1", "vm-2", "vm-3")
KEEPER = rendezvous.choose_node("positions/ledger", VMS)
FIRST, SECOND = [vm for vm in VMS if vm != KEEPER]
POSITION = records.LogPosition(1, 7)


class FakeWire:
    """Delivers datagrams between the VMs of a domain after a delay."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.endpoints = {}
        self.queries = 0


class FakePeers(datagrams.Peers):
    """Datagram endpoint of one VM, without a socket."""

    def __init__(self, wire, port):
        super().__init__(f"127.0.0.1:{port}")
        self._wire = wire
        self._port = port
        wire.endpoints[port] = self

    async def send(self, message, address):
        """Deliver a message after encoding and decoding it."""
        message = datagrams.decode(datagrams.encode(message))
        await trio.sleep(self._wire.delay_s)
        if isinstance(message, datagrams.messages.PositionQuery):
            self._wire.queries += 1
        receiver = self._wire.endpoints[address[1]]
        await receiver.dispatch(message, ("127.0.0.1", self._port))


class Vm:
    """One VM with its positions and their exchange."""

    def __init__(self, wire, name, nursery):
        members = roster.Roster()
        for number, vm in enumerate(VMS, 1):
            member = fleets.make_member(vm)
            members.put(member._replace(address=f"127.0.0.1:{number}"), 0.0)
        self.positions = position_history.PositionHistory()
        node = types.SimpleNamespace(
            view=types.SimpleNamespace(
                state=types.SimpleNamespace(groups={"ledger": None}),
                members=members.members,
                roster=members,
            ),
            get_log_positions=lambda group: self.positions,
            settings=types.SimpleNamespace(
                vm=types.SimpleNamespace(name=name, domain="north")
            ),
        )
        port = VMS.index(name) + 1
        self.exchange = position_exchange.PositionExchange(
            node, FakePeers(wire, port)
        )
        self.exchange.start(nursery)

    async def fetch(self, since):
        """Fetch a position that covers a time; return what is known."""
        await self.exchange.fetch("ledger", since)
        return self.positions.find_covering(since)


def run(test, delay_s=0.0):
    """Run an async test with the wire and the VMs by name."""

    async def main():
        wire = FakeWire(delay_s)
        async with trio.open_nursery() as nursery:
            vms = {name: Vm(wire, name, nursery) for name in VMS}
            await test(wire, vms)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_position_of_one_vm_reaches_another_through_the_keeper():
    async def test(wire, vms):
        read_at = clock.now()
        vms[FIRST].positions.add(read_at, POSITION)
        vms[FIRST].exchange.notify_keeper("ledger")
        await trio.sleep(0.05)
        assert await vms[SECOND].fetch(read_at - 0.1) == POSITION

    run(test)


def test_position_never_seems_newer_than_it_is():
    """Whatever the messages take, it covers no time after it was read."""

    async def test(wire, vms):
        read_at = clock.now()
        vms[FIRST].positions.add(read_at, POSITION)
        vms[FIRST].exchange.notify_keeper("ledger")
        await trio.sleep(0.05)
        await vms[SECOND].fetch(read_at - 0.1)
        for vm in (KEEPER, SECOND):
            assert vms[vm].positions.newest.sent_at <= read_at
            assert vms[vm].positions.newest.sent_at > read_at - 0.05

    run(test, delay_s=0.005)


def test_keeper_is_not_asked_while_an_own_position_is_recent_enough():
    async def test(wire, vms):
        now = clock.now()
        vms[FIRST].positions.add(now, POSITION)
        assert await vms[FIRST].fetch(now - 0.1) == POSITION
        assert wire.queries == 0

    run(test)


def test_keeper_without_a_position_is_left_alone_for_a_while():
    async def test(wire, vms):
        for _ in range(5):
            assert await vms[FIRST].fetch(clock.now() - 1.0) is None
        assert wire.queries == 1

    run(test)


def test_notices_are_few():
    async def test(wire, vms):
        for _ in range(50):
            vms[FIRST].positions.add(clock.now(), POSITION)
            vms[FIRST].exchange.notify_keeper("ledger")
        await trio.sleep(0.05)
        assert wire.queries == 1

    run(test)
