"""End of a VM's use of a primary that a failover replaces."""

import pytest
import trio

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import node
from geraniumridge._internal.proxy import primary_revocation
from geraniumridge._internal.utils import clock
from lib import fleets

LEAD_KEY = fleet.make_lead_key("ledger")


class FakeExchange:
    """Delivery of acknowledgements, which succeeds if tests say so."""

    def __init__(self, is_delivered=False):
        self.is_delivered = is_delivered
        self.deliveries = []

    async def deliver(self, group, revision, holder):
        """Record a delivery."""
        self.deliveries.append((group, revision, holder))
        return self.is_delivered


class FakeStore:
    """Store that records what is written."""

    def __init__(self):
        self.keys = []

    async def commit(self, expected, writes=(), deletes=()):
        """Record the keys of a transaction."""
        self.keys += [write.key for write in writes]


def make_node():
    settings = proxy_settings.ProxySettings(
        vm=proxy_settings.VmSettings("vm-1", "north", "127.0.0.1"),
        listen=proxy_settings.ListenSettings("", "", 1, 1),
        platform=proxy_settings.PlatformSettings("", ""),
        regions={},
    )
    return node.Node(settings, "boot", lambda key, value: value, None)


def make_listing(revision, lead):
    records = {
        "op": fleets.make_state(),
        fleet.make_member_key("vm-1"): fleets.make_member("vm-1"),
        LEAD_KEY: lead,
    }
    items = [store.Item(key, item, 1) for key, item in records.items()]
    return store.Listing(tuple(items), revision)


async def read_pending_lead(state, view_age_s):
    """Start a statement on a view of some age, then read a failover."""
    now = clock.now()
    state.view.replace(
        now, make_listing(1, fleet.Lead("old", 1, "vm-2", False))
    )
    state.view_age.confirm(now - view_age_s)
    usage = state.get_primary_usage("ledger")
    usage.start_statement("old")
    pending = fleet.Lead("old", 1, "vm-2/boot", True)
    item = store.Item(LEAD_KEY, pending, 2)
    state.view.apply(now, store.Changes((item,), 2))
    state.view_age.confirm(now)
    return usage


@pytest.mark.parametrize(
    ("view_age_s", "is_in_use"),
    [
        (0.2, True),
        (primary_resolver.MAX_UNCONFIRMED_AGE_S - 0.05, False),
        (primary_resolver.MAX_VIEW_AGE_S - 0.05, False),
    ],
)
def test_running_statement_does_not_outlast_the_view_it_was_sent_on(
    view_age_s, is_in_use
):
    """The VM that runs the failover waits no longer than such a view."""

    async def main():
        state = make_node()
        revoker = primary_revocation.PrimaryRevoker(
            state, None, FakeExchange(), lambda: 0
        )
        usage = await read_pending_lead(state, view_age_s)
        epoch = usage.epoch
        async with trio.open_nursery() as nursery:
            revoker.stop_using_replaced(nursery)
            await trio.sleep(0.1)
            assert (usage.epoch == epoch) is is_in_use
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("is_delivered", [True, False])
def test_acknowledgement_is_stored_only_if_it_cannot_be_delivered(
    is_delivered,
):
    async def main():
        state = make_node()
        written = FakeStore()
        exchange = FakeExchange(is_delivered)
        revoker = primary_revocation.PrimaryRevoker(
            state, written, exchange, lambda: 7
        )
        usage = await read_pending_lead(state, 0.2)
        usage.end_statement()
        async with trio.open_nursery() as nursery:
            revoker.stop_using_replaced(nursery)
        assert exchange.deliveries == [("ledger", 2, "vm-2/boot")]
        key = fleet.make_acknowledgement_key("ledger", "vm-1")
        assert written.keys == ([] if is_delivered else [key])

    trio.run(main)
