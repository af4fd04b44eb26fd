"""How one VM keeps its view and the age of it."""

import types

import trio

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import view
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import follower
from geraniumridge._internal.proxy import news
from geraniumridge._internal.utils import clock
from lib import fleets

MEMBERS = ("vm-1", "vm-2")


class FakeStore:
    """A store whose calls are noted; watches never end."""

    def __init__(self):
        self.revision = 1
        self.items = [
            store.Item(fleet.make_member_key(vm), fleets.make_member(vm), 1)
            for vm in MEMBERS
        ]
        self.is_down = False
        self.calls = []

    def put(self, key, value):
        """Write as another VM does."""
        self.revision += 1
        self.items.append(store.Item(key, value, self.revision))

    async def list(self, prefix):
        """Return all items."""
        self._note("list")
        return store.Listing(tuple(self.items), self.revision)

    async def watch(self, prefix, after, wait_s):
        """Wait for good, as on a connection that went silent."""
        await trio.sleep_forever()

    async def read_changes(self, prefix, after):
        """Return later items."""
        self._note("read")
        items = tuple(item for item in self.items if item.revision > after)
        return store.Changes(items, self.revision)

    def _note(self, call):
        self.calls.append(call)
        if self.is_down:
            raise exceptions.PlatformUnavailableError("down")


class FakeNews:
    """A neighbour with a given answer; notes what it is told."""

    def __init__(self):
        self.answer = None
        self.asked = 0
        self.told = 0

    async def ask(self, member):
        """Return the answer."""
        self.asked += 1
        await trio.sleep(0)
        return self.answer

    def is_heard(self, now):
        """Tell whether there is a neighbour."""
        return self.answer is not None

    async def tell_domain(self):
        """Count a hint."""
        self.told += 1

    async def wait_hint(self):
        """Wait for a hint that never comes."""
        await trio.sleep_forever()


class World:
    """A follower on fakes, and what it keeps."""

    def __init__(self, vm):
        self.store = FakeStore()
        self.news = FakeNews()
        self.node = types.SimpleNamespace(
            view=view.View(lambda key, value: value),
            freshness=freshness.ViewAge(),
            settings=types.SimpleNamespace(
                vm=types.SimpleNamespace(name=vm, domain="north")
            ),
            note_return=lambda: None,
        )
        self.follower = follower.Follower(
            self.node, self.store, self.news, lambda: None
        )

    async def run(self, seconds):
        """Follow for a while and return the calls of that time."""
        del self.store.calls[:]
        with trio.move_on_after(seconds):
            await self.follower.run()
        return list(self.store.calls)

    def get_age_s(self):
        """Return the age of the knowledge."""
        return self.node.freshness.get_age(clock.now())


def run(vm, test):
    trio.run(test, World(vm))


def test_the_reader_reads_at_its_pace():
    async def test(world):
        calls = await world.run(2.2 * follower.READ_S)
        assert calls == ["list", "read", "read", "read"]
        assert world.news.asked == 0

    run("vm-1", test)


def test_a_neighbour_with_news_of_no_change_spares_the_store():
    async def test(world):
        await world.run(0.05)
        world.news.answer = news.Heard(changed=1, age_s=0.1)
        calls = await world.run(3.2 * follower.ASK_S)
        assert calls == []
        assert 0.1 <= world.get_age_s() < 0.1 + 2 * follower.ASK_S

    run("vm-2", test)


def test_a_change_that_a_neighbour_knows_is_read_once():
    async def test(world):
        world.news.answer = news.Heard(changed=1, age_s=0.1)
        await world.run(0.05)
        world.store.put("s/old", fleets.make_target("old"))
        world.news.answer = news.Heard(changed=2, age_s=0.1)
        assert await world.run(1.5 * follower.ASK_S) == ["read"]
        assert "old" in world.node.view.targets

    run("vm-2", test)


def test_old_knowledge_of_a_neighbour_is_not_taken():
    async def test(world):
        old_s = follower.USEFUL_AGE_S + 1
        world.news.answer = news.Heard(changed=1, age_s=old_s)
        await world.run(0.05)
        assert world.get_age_s() < 0.2

    run("vm-2", test)


def test_a_silent_neighbour_is_no_hindrance():
    async def test(world):
        calls = await world.run(1.2 * follower.READ_S)
        assert calls.count("read") >= 2
        assert world.get_age_s() < follower.READ_S

    run("vm-2", test)


def test_the_age_grows_while_the_store_is_down():
    async def test(world):
        await world.run(0.05)
        world.store.is_down = True
        await world.run(0.4)
        assert world.get_age_s() >= 0.4

    run("vm-1", test)


def test_only_new_leads_are_told_at_once():
    async def test(world):
        await world.run(0.05)
        world.store.put("s/old", fleets.make_target("old"))
        await world.run(0.05)
        assert world.news.told == 0
        lead = fleet.Lead("old", 1, "vm-9/boot", True)
        world.store.put(fleet.make_lead_key("ledger"), lead)
        await world.run(0.05)
        assert world.news.told == 1

    run("vm-1", test)


def test_the_end_of_an_outage_is_told():
    async def test(world):
        await world.run(0.05)
        world.store.is_down = True
        await world.run(0.05)
        world.store.is_down = False
        await world.run(0.05)
        assert world.news.told == 1

    run("vm-1", test)
