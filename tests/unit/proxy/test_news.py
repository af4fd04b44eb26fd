"""What VMs tell each other of the store."""

import types

import trio

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import news
from geraniumridge._internal.utils import clock
from lib import fleets

messages = datagrams.messages
ADDRESSES = {"vm-1": ("127.0.0.1", 1), "vm-2": ("127.0.0.1", 2)}


class Wire:
    """Carries datagrams between VMs at once, and notes them."""

    def __init__(self):
        self.sent = []
        self.ends = {}
        self.is_cut = False

    def add(self, vm):
        """Return the end of a VM."""
        end = WireEnd(self, ADDRESSES[vm])
        self.ends[ADDRESSES[vm]] = end
        return end


class WireEnd(datagrams.Peers):
    """One VM's end, without a socket."""

    def __init__(self, wire, address):
        super().__init__(f"{address[0]}:{address[1]}")
        self._wire = wire
        self._sender = address

    async def send(self, message, address):
        """Deliver a message as it looks after the wire."""
        if self._wire.is_cut:
            return
        message = datagrams.decode(datagrams.encode(message))
        self._wire.sent.append(message)
        await self._wire.ends[tuple(address)].take(message, self._sender)


def make_news(wire, vm):
    picture = view.View(lambda key, value: value)
    items = tuple(
        store.Item(
            fleet.make_member_key(name),
            fleets.make_member(name)._replace(address=f"{host}:{port}"),
            number,
        )
        for number, (name, (host, port)) in enumerate(ADDRESSES.items(), 1)
    )
    picture.replace(clock.now(), store.Listing(items, 7))
    node = types.SimpleNamespace(
        view=picture,
        freshness=freshness.ViewAge(),
        settings=types.SimpleNamespace(
            vm=types.SimpleNamespace(name=vm, domain="north")
        ),
    )
    return node, news.News(node, wire.add(vm))


def run_pair(test):
    async def main():
        wire = Wire()
        asker, asking = make_news(wire, "vm-1")
        other, _ = make_news(wire, "vm-2")
        await test(wire, asker, asking, other)

    trio.run(main)


def test_an_answer_tells_the_last_change_and_the_age():
    async def test(wire, asker, asking, other):
        other.freshness.confirm(clock.now() - 0.5)
        heard = await asking.ask(asker.view.members["vm-2"])
        assert heard.changed == 7
        assert 0.5 <= heard.age_s < 0.6
        assert asking.is_heard(clock.now())

    run_pair(test)


def test_who_never_read_the_store_gives_no_answer():
    async def test(wire, asker, asking, other):
        assert await asking.ask(asker.view.members["vm-2"]) is None

    run_pair(test)


def test_who_never_read_the_store_may_still_hint():
    async def test(wire, asker, asking, other):
        await asking.tell_all()
        assert wire.sent == [messages.Hint(vm="vm-1")]

    run_pair(test)


def test_a_lost_question_is_not_waited_for():
    async def test(wire, asker, asking, other):
        other.freshness.confirm(clock.now())
        wire.is_cut = True
        with trio.fail_after(1):
            assert await asking.ask(asker.view.members["vm-2"]) is None

    run_pair(test)


def test_an_answer_to_an_earlier_question_is_ignored():
    """Its age was true at another time."""

    async def test(wire, asker, asking, other):
        end = wire.ends[ADDRESSES["vm-1"]]
        late = messages.News(number=0, changed=7, age_ms=1)
        await end.take(late, ADDRESSES["vm-2"])
        assert not asking.is_heard(clock.now())

    run_pair(test)
