"""Store view: listings, changes, and the grace time after an outage.

A listing replaces the whole view. The revision of the view only grows.
"""

import pytest

from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

Item = store.Item


def make_view():
    return view.View(lambda key, value: value)


def make_listing(revision, *items):
    return store.Listing(items, revision)


def make_changes(revision, *items):
    return store.Changes(items, revision)


def test_listing_older_than_the_view_is_ignored():
    store_view = make_view()
    new = fleets.make_state(version=2)
    assert store_view.replace(0.0, make_listing(9, Item("op", new, 9)))
    old = fleets.make_state(version=1)
    assert not store_view.replace(1.0, make_listing(8, Item("op", old, 8)))
    assert store_view.state.version == 2


def test_older_change_of_a_key_is_ignored():
    store_view = make_view()
    new = fleets.make_state(version=3)
    store_view.replace(0.0, make_listing(9, Item("op", new, 12)))
    old = fleets.make_state(version=2)
    store_view.apply(1.0, make_changes(11, Item("op", old, 11)))
    assert store_view.state.version == 3
    assert store_view.revision == 11


def test_late_answer_does_not_bring_a_deleted_key_back():
    """A watch may be answered after a read has got past its changes."""
    store_view = make_view()
    store_view.replace(0.0, make_listing(5))
    target = fleets.make_target("a")
    created = Item("s/a", target, 6)
    deleted = Item("s/a", None, 7)
    store_view.apply(1.0, make_changes(7, created, deleted))
    store_view.apply(1.1, make_changes(6, created))
    assert not store_view.targets
    assert store_view.get_revision("s/a") == 0
    assert store_view.revision == 7


def test_listing_removes_missing_targets():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    store_view.replace(1.0, make_listing(6))
    assert not store_view.targets


def test_unreadable_entry_is_no_target_and_affects_no_other():
    store_view = make_view()
    good = fleets.make_target("b")
    store_view.replace(
        0.0,
        make_listing(5, Item("s/a", None or "?", 4), Item("s/b", good, 5)),
    )
    assert list(store_view.targets) == ["b"]


def test_entry_that_becomes_unreadable_removes_its_target():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    store_view.apply(1.0, make_changes(6, Item("s/a", "?", 6)))
    assert not store_view.targets


def test_target_that_expired_in_an_outage_is_kept_for_two_seconds():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    store_view.note_outage_end(10.0)
    store_view.replace(10.0, make_listing(6))
    assert "a" in store_view.targets
    store_view.expire(11.9)
    assert "a" in store_view.targets
    store_view.expire(12.0)
    assert "a" not in store_view.targets


def test_target_that_registers_again_stays():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    store_view.note_outage_end(10.0)
    store_view.replace(10.0, make_listing(6))
    store_view.apply(11.0, make_changes(7, Item("s/a", target, 7)))
    store_view.expire(30.0)
    assert "a" in store_view.targets


def test_target_removed_without_an_outage_is_dropped_and_remembered():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    store_view.apply(1.0, make_changes(6, Item("s/a", None, 6)))
    assert not store_view.targets
    assert store_view.list_recently_removed("ledger", 2.0, within_s=5.0) == [
        target
    ]
    assert store_view.list_recently_removed("ledger", 9.0, within_s=5.0) == []


def test_evacuations_are_added_and_removed():
    store_view = make_view()
    order = view.Evacuation("north")
    store_view.replace(0.0, make_listing(5, Item("e/north", order, 5)))
    assert store_view.evacuated == {"north"}
    store_view.apply(1.0, make_changes(6, Item("e/north", None, 6)))
    assert not store_view.evacuated


def test_departures_are_remembered_until_the_member_returns():
    store_view = make_view()
    key = fleet.make_member_key("vm-1")
    member = fleet.Member("vm-1", "north", "127.0.0.1:1", "boot-1")
    store_view.replace(0.0, make_listing(5, Item(key, member, 5)))
    store_view.apply(1.0, make_changes(6, Item(key, None, 6)))
    assert list(store_view.roster.list_departures(2.0, 3.0)) == ["vm-1"]
    assert not store_view.roster.list_departures(5.0, 3.0)
    again = member._replace(boot="boot-2")
    store_view.apply(2.0, make_changes(7, Item(key, again, 7)))
    assert not store_view.roster.list_departures(2.0, 3.0)


def test_only_a_long_gap_resets_complete_since():
    """A short gap can't hide a member that joined and left; a long one can."""
    store_view = make_view()
    store_view.replace(0.0, make_listing(5))
    store_view.replace(10.0, make_listing(6), confirmed_at=8.0)
    assert store_view.complete_since == 0.0
    store_view.replace(20.0, make_listing(7), confirmed_at=16.0)
    assert store_view.complete_since == 20.0


def test_acknowledgements_are_kept_by_group_and_vm():
    store_view = make_view()
    key = fleet.make_acknowledgement_key("ledger", "vm-1")
    acknowledgement = fleet.Acknowledgement("vm-1", 7)
    store_view.replace(0.0, make_listing(8, Item(key, acknowledgement, 8)))
    assert store_view.list_acknowledgements("ledger") == {
        "vm-1": acknowledgement
    }
    store_view.apply(1.0, make_changes(9, Item(key, None, 9)))
    assert not store_view.list_acknowledgements("ledger")


@pytest.mark.parametrize("role", list(desired.Role))
def test_list_group_returns_the_targets_of_the_group(role):
    store_view = make_view()
    mine = fleets.make_target("a", role=role)
    other = fleets.make_target("b", group="other")
    store_view.replace(
        0.0, make_listing(5, Item("s/a", mine, 4), Item("s/b", other, 5))
    )
    assert store_view.list_group("ledger") == [mine]


def test_target_that_changes_its_group_is_listed_once():
    store_view = make_view()
    target = fleets.make_target("a")
    store_view.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    moved = target._replace(group="other")
    store_view.apply(1.0, make_changes(6, Item("s/a", moved, 6)))
    assert store_view.list_group("ledger") == []
    assert store_view.list_group("other") == [moved]
    store_view.apply(2.0, make_changes(7, Item("s/a", None, 7)))
    assert store_view.list_group("other") == []


def make_target_set(*ids):
    return fleet.TargetSet(
        tuple(fleet.RecordedTarget(id, "127.0.0.1:1", "north") for id in ids)
    )


def make_view_of_a_start():
    """Return the view of a VM that starts after target b has left."""
    store_view = make_view()
    key = fleet.make_targets_key("ledger")
    recorded = Item(key, make_target_set("a", "b"), 4)
    registered = Item("s/a", fleets.make_target("a"), 5)
    store_view.replace(10.0, make_listing(5, recorded, registered))
    return store_view


def test_target_that_left_before_the_start_is_known_as_removed():
    store_view = make_view_of_a_start()
    removed = store_view.list_recently_removed("ledger", 11.0, 30.0)
    assert [target.id for target in removed] == ["b"]
    assert store_view.get_removal_time("b") == 10.0
    assert store_view.get_removal_time("a") is None
    assert store_view.find_departed("b").address == "127.0.0.1:1"


def test_target_that_left_before_the_start_is_not_used_again():
    """Whoever saw its entry go may use it a moment longer."""
    store_view = make_view_of_a_start()
    assert store_view.find_recently_removed("b", 10.1, 4.0) is None
    store_view.apply(11.0, make_changes(6, Item("s/a", None, 6)))
    assert store_view.find_recently_removed("a", 11.1, 4.0).id == "a"


def test_unreadable_lead_keeps_the_former_primary_out_of_use():
    """All VMs stop using it, and the next failover begins with it."""
    made = view.View(lambda key, value: value)
    key = fleet.make_lead_key("ledger")
    lead = fleet.Lead("i-1", 4, "vm-1", False)
    for revision, record in enumerate((lead, fleet.UNREADABLE_LEAD), 1):
        item = store.Item(key, record, revision)
        made.apply(0.0, store.Changes((item,), revision))
    assert made.get_lead("ledger") == fleet.Lead("i-1", 4, "", True)


def test_order_is_seen_with_its_time_until_it_is_removed():
    made = view.View(lambda key, value: value)
    key = fleet.make_order_key("ledger")
    order = fleet.PromotionOrder("i-1", 4, "vm-1")
    made.apply(5.0, store.Changes((store.Item(key, order, 1),), 1))
    made.apply(6.0, store.Changes((store.Item(key, order, 1),), 1))
    assert made.get_order("ledger") == view.SeenOrder(order, 5.0)
    made.apply(7.0, store.Changes((store.Item(key, order, 2),), 2))
    assert made.get_order("ledger").seen_at == 7.0
    made.apply(8.0, store.Changes((store.Item(key, None, 3),), 3))
    assert made.get_order("ledger") is None


def test_usage_records_are_seen_by_window_until_they_are_deleted():
    made = view.View(lambda key, value: value)
    record = fleet.UsageRecord(4, "vm-1", {"a": 1})
    keys = [fleet.make_usage_key(7), fleet.USAGE_RECORDS_PREFIX + "odd"]
    for revision, key in enumerate(keys, 1):
        item = store.Item(key, record, revision)
        made.apply(0.0, store.Changes((item,), revision))
    assert made.usage_records == {7: record}
    for revision, key in enumerate(keys, 3):
        item = store.Item(key, None, revision)
        made.apply(0.0, store.Changes((item,), revision))
    assert made.usage_records == {}
