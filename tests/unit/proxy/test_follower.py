"""Updates of one VM's store view and its age."""

import types

import trio

from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import follower
from geraniumridge._internal.proxy import view_exchange
from geraniumridge._internal.utils import clock
from lib import fleets

MEMBERS = ("vm-1", "vm-2")


class FakeStore:
    """Store that records its calls; watches never end."""

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
        """Wait forever, as on a connection that went silent."""
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


class FakeViewExchange:
    """View exchange with an answer that tests change; counts its uses.

    The answer None stands for no answer from the neighbour.
    """

    def __init__(self):
        self.answer = None
        self.queries = 0
        self.notifications = 0

    async def query(self, member):
        """Return the answer."""
        self.queries += 1
        await trio.sleep(0)
        return self.answer

    def note_confirmed(self, vm):
        """Ignore who has confirmed the view."""

    def has_recent_answer(self, now):
        """Return whether the reader answers."""
        return self.answer is not None

    async def notify_domain(self):
        """Count a notification."""
        self.notifications += 1

    async def wait_notification(self):
        """Wait for a notification that never arrives."""
        await trio.sleep_forever()


class FollowerFixture:
    """Follower with a fake store and reader, and its node."""

    def __init__(self, vm):
        self.store = FakeStore()
        self.view_exchange = FakeViewExchange()
        self.node = types.SimpleNamespace(
            view=view.View(lambda key, value: value),
            view_age=view_age.ViewAge(),
            settings=types.SimpleNamespace(
                vm=types.SimpleNamespace(name=vm, domain="north")
            ),
            note_store_regained=lambda: None,
            is_registration_unseen=False,
        )
        self.follower = follower.StoreFollower(
            self.node, self.store, self.view_exchange, lambda: None
        )

    async def run(self, seconds):
        """Run the follower; return the store calls of that time."""
        del self.store.calls[:]
        with trio.move_on_after(seconds):
            await self.follower.run()
        return list(self.store.calls)

    def get_age_s(self):
        """Return the age of the store view."""
        return self.node.view_age.get_age(clock.now())


def make_answer(revision, *items, age_s=0.1):
    """Return the status of a reader whose view is at a revision."""
    return view_exchange.ViewStatus(store.Changes(items, revision), age_s)


def run(vm, test):
    trio.run(test, FollowerFixture(vm))


def test_reader_polls_at_its_interval():
    async def test(fixture):
        calls = await fixture.run(2.2 * follower.READ_INTERVAL_S)
        assert calls == ["list", "read", "read", "read"]
        assert fixture.view_exchange.queries == 0

    run("vm-1", test)


def test_store_is_not_read_if_the_reader_reports_no_change():
    async def test(fixture):
        await fixture.run(0.05)
        fixture.view_exchange.answer = make_answer(1)
        calls = await fixture.run(3.2 * follower.QUERY_INTERVAL_S)
        assert calls == []
        assert 0.1 <= fixture.get_age_s() < 0.1 + 2 * follower.QUERY_INTERVAL_S

    run("vm-2", test)


def test_changes_that_the_reader_lacks_are_read_from_the_store():
    async def test(fixture):
        fixture.view_exchange.answer = make_answer(1)
        await fixture.run(0.05)
        fixture.store.put("s/old", fleets.make_target("old"))
        fixture.view_exchange.answer = view_exchange.ViewStatus(None, 0.1)
        assert await fixture.run(0.5 * follower.QUERY_INTERVAL_S) == ["read"]
        assert "old" in fixture.node.view.targets

    run("vm-2", test)


def test_changes_of_the_reader_need_no_read():
    async def test(fixture):
        fixture.view_exchange.answer = make_answer(1)
        await fixture.run(0.05)
        item = store.Item("s/old", fleets.make_target("old"), 2)
        fixture.view_exchange.answer = make_answer(2, item)
        assert await fixture.run(1.5 * follower.QUERY_INTERVAL_S) == []
        assert "old" in fixture.node.view.targets
        assert fixture.node.view.revision == 2

    run("vm-2", test)


def test_view_without_the_own_registration_is_updated_often():
    async def test(fixture):
        fixture.view_exchange.answer = make_answer(1)
        fixture.node.is_registration_unseen = True
        await fixture.run(5.5 * follower.UNSEEN_REGISTRATION_DELAY_S)
        assert fixture.view_exchange.queries >= 4

    run("vm-2", test)


def test_answer_of_the_reader_with_an_old_view_is_not_used():
    async def test(fixture):
        old_s = follower.MAX_READER_VIEW_AGE_S + 1
        fixture.view_exchange.answer = make_answer(1, age_s=old_s)
        await fixture.run(0.05)
        assert fixture.get_age_s() < 0.2

    run("vm-2", test)


def test_store_is_read_if_the_reader_does_not_answer():
    async def test(fixture):
        calls = await fixture.run(1.2 * follower.READ_INTERVAL_S)
        assert calls.count("read") >= 2
        assert fixture.get_age_s() < follower.READ_INTERVAL_S

    run("vm-2", test)


def test_age_grows_during_a_store_outage():
    async def test(fixture):
        await fixture.run(0.05)
        fixture.store.is_down = True
        await fixture.run(0.4)
        assert fixture.get_age_s() >= 0.4

    run("vm-1", test)


def test_only_new_leadership_records_are_notified_at_once():
    async def test(fixture):
        await fixture.run(0.05)
        fixture.store.put("s/old", fleets.make_target("old"))
        await fixture.run(0.05)
        assert fixture.view_exchange.notifications == 0
        lead = fleet.Lead("old", 1, "vm-9/boot", True)
        fixture.store.put(fleet.make_lead_key("ledger"), lead)
        await fixture.run(0.05)
        assert fixture.view_exchange.notifications == 1

    run("vm-1", test)


def test_end_of_an_outage_is_notified():
    async def test(fixture):
        await fixture.run(0.05)
        fixture.store.is_down = True
        await fixture.run(0.05)
        fixture.store.is_down = False
        await fixture.run(0.05)
        assert fixture.view_exchange.notifications == 1

    run("vm-1", test)
