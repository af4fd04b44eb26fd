"""Store view: listings, changes, and the grace time after an outage.

A listing replaces the whole view. The revision of the view only grows.
"""

import pytest

from geraniumridge._internal.decisions import former_era
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import revisions
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


def make_revision(number, era=2):
    return revisions.make_revision(era, number)


def make_copied_listing(*items, number=4):
    """Return a listing of a store that was restored to a former number."""
    copied = (
        item._replace(revision=make_revision(item.revision)) for item in items
    )
    return make_listing(make_revision(number), *copied)


def test_number_that_is_given_out_again_is_a_newer_revision():
    """Guards against passing over a change of a restored store."""
    made = make_view()
    state = fleets.make_state(version=1)
    made.replace(0.0, make_listing(9, Item("op", state, 8)))
    made.replace(1.0, make_copied_listing(Item("op", state, 3)))
    newer = Item("op", fleets.make_state(version=2), make_revision(8))
    made.apply(2.0, make_changes(make_revision(8), newer))
    assert made.state.version == 2


def test_former_era_changes_nothing():
    """Guards against a late answer of before the restore."""
    made = make_view()
    made.replace(0.0, make_copied_listing())
    target = fleets.make_target("a")
    assert not made.replace(1.0, make_listing(9, Item("s/a", target, 9)))
    made.apply(1.0, make_changes(9, Item("s/a", target, 9)))
    assert not made.targets
    assert made.revision == make_revision(4)


def test_state_stays_until_operators_have_written_it_again():
    """Guards against a configuration that reverts with a restore."""
    made = make_view()
    made.replace(
        0.0, make_listing(9, Item("op", fleets.make_state(version=7), 9))
    )
    copy = Item("op", fleets.make_state(version=3), 3)
    made.replace(1.0, make_copied_listing(copy))
    assert made.state.version == 7
    for number, version, expected in ((5, 5, 7), (6, 7, 7), (7, 9, 9)):
        state = fleets.make_state(version=version)
        item = Item("op", state, make_revision(number))
        made.apply(2.0, make_changes(item.revision, item))
        assert made.state.version == expected


def test_evacuation_lost_in_a_restore_is_kept_for_two_seconds():
    """Guards against statements to a domain that operators evacuated."""
    made = make_view()
    item = Item("e/north", view.Evacuation("north"), 9)
    made.replace(0.0, make_listing(9, item))
    made.replace(1.0, make_copied_listing())
    made.expire(2.9)
    assert made.evacuated == {"north"}
    made.expire(3.0)
    assert not made.evacuated


def test_evacuation_written_again_after_a_restore_stays():
    made = make_view()
    item = Item("e/north", view.Evacuation("north"), 9)
    made.replace(0.0, make_listing(9, item))
    made.replace(1.0, make_copied_listing())
    again = item._replace(revision=make_revision(5))
    made.apply(1.5, make_changes(again.revision, again))
    made.expire(60.0)
    assert made.evacuated == {"north"}


def test_draining_target_stays_so_in_a_restored_store():
    """Guards against statements to a target that is about to leave."""
    made = make_view()
    draining = fleets.make_target("a")._replace(is_draining=True, started_ms=5)
    made.replace(0.0, make_listing(9, Item("s/a", draining, 9)))
    copy = Item("s/a", draining._replace(is_draining=False), 3)
    made.replace(1.0, make_copied_listing(copy))
    assert made.targets["a"].is_draining
    restarted = draining._replace(is_draining=False, started_ms=6)
    change = Item("s/a", restarted, make_revision(5))
    made.apply(2.0, make_changes(change.revision, change))
    assert not made.targets["a"].is_draining


@pytest.mark.parametrize("is_in_copy", [True, False])
def test_copied_leadership_record_is_pending_with_the_newest_primary(
    is_in_copy,
):
    """Guards against the return to a former primary after a restore."""
    made = make_view()
    lead = fleet.Lead("i-2", 5, "vm-1", False)
    key = fleet.make_lead_key("ledger")
    made.replace(0.0, make_listing(9, Item(key, lead, 9)))
    copy = Item(key, fleet.Lead("i-1", 4, "vm-1", False), 3)
    made.replace(
        1.0, make_copied_listing(*([copy] if is_in_copy else [])), 0.7
    )
    assert made.is_lead_copied("ledger")
    assert made.get_lead("ledger") == fleet.Lead("i-2", 5, "", True)
    assert made.get_former_lead("ledger") == former_era.FormerLead(lead, 0.7)
    expected = make_revision(3) if is_in_copy else 0
    assert made.get_revision(key) == expected
    renewed = Item(key, lead._replace(era=2), make_revision(5))
    made.apply(2.0, make_changes(renewed.revision, renewed))
    assert not made.is_lead_copied("ledger")
    assert made.get_lead("ledger") == renewed.value
    assert made.get_former_lead("ledger") is None


def test_former_primary_is_kept_over_two_restores():
    made = make_view()
    lead = fleet.Lead("i-2", 5, "vm-1", False)
    key = fleet.make_lead_key("ledger")
    made.replace(0.0, make_listing(9, Item(key, lead, 9)))
    copy = Item(key, fleet.Lead("i-1", 4, "vm-1", False), 3)
    made.replace(1.0, make_copied_listing(copy), 0.7)
    third = make_listing(
        make_revision(4, era=3), copy._replace(revision=make_revision(3, 3))
    )
    made.replace(2.0, third, 1.9)
    assert made.get_former_lead("ledger") == former_era.FormerLead(lead, 0.7)
    assert made.get_lead("ledger").target == "i-2"


def test_group_without_a_record_in_an_era_has_no_primary():
    """Guards against a target that calls itself primary after a restore.

    The record of its replacement may be lost.
    """
    made = make_view()
    target = fleets.make_target("a")
    made.replace(0.0, make_copied_listing(Item("s/a", target, 3)))
    assert made.is_lead_copied("ledger")
    assert made.get_lead("ledger").is_pending


def test_changes_before_a_restore_may_have_been_missed():
    """Guards against members that registered before it, seen by nobody."""
    made = make_view()
    made.replace(0.0, make_listing(9))
    made.replace(50.0, make_copied_listing(), 49.9)
    assert made.complete_since == 50.0
    assert made.last_run_end == view.RunEnd(50.0, make_revision(4))


ORDER_KEY = fleet.make_order_key("ledger")


def make_view_with_lead(now, lead, confirmed_at, *items):
    """Return a view whose store is restored from before a lead's record."""
    made = make_view()
    item = Item(fleet.make_lead_key("ledger"), lead, 9)
    made.replace(0.0, make_listing(9, item, *items))
    made.replace(now, make_copied_listing(), confirmed_at)
    return made


@pytest.mark.parametrize(
    ("is_pending", "age_s", "is_expected"),
    [(False, 1.0, False), (False, 2.0, True), (True, 1.0, True)],
)
def test_unseen_order_is_ruled_out_by_a_recent_settled_record(
    is_pending, age_s, is_expected
):
    """Guards against two orders whose senders do not know of each other."""
    lead = fleet.Lead("i-2", 5, "vm-1", is_pending)
    made = make_view_with_lead(20.0, lead, 20.0 - age_s)
    assert made.may_have_unseen_order("ledger", 21.0) is is_expected
    assert not made.may_have_unseen_order("ledger", 35.1)


def test_settled_record_of_the_era_rules_out_unseen_orders():
    lead = fleet.Lead("i-2", 5, "vm-1", True)
    made = make_view_with_lead(20.0, lead, 19.9)
    key = fleet.make_lead_key("ledger")
    for is_pending in (True, False):
        renewed = lead._replace(is_pending=is_pending, era=2)
        item = Item(key, renewed, make_revision(5 + (not is_pending)))
        made.apply(21.0, make_changes(item.revision, item))
        assert made.may_have_unseen_order("ledger", 21.0) is is_pending


def test_order_lost_in_a_restore_binds_until_it_has_expired():
    """Guards against a different order while a lost one may be carried out."""
    order = fleet.PromotionOrder("i-2", 8, "vm-1")
    lead = fleet.Lead("i-1", 5, "vm-1/boot", True)
    made = make_view_with_lead(5.0, lead, 4.9, Item(ORDER_KEY, order, 9))
    made.expire(14.9)
    assert made.get_order("ledger") == view.SeenOrder(order, 0.0)
    assert made.get_revision(ORDER_KEY) == 0
    settled = fleet.Lead("i-2", 6, "vm-1", False, 2)
    key = fleet.make_lead_key("ledger")
    item = Item(key, settled, make_revision(5))
    made.apply(14.9, make_changes(item.revision, item))
    made.expire(15.0)
    assert made.get_order("ledger") is not None
    made.expire(15.1)
    assert made.get_order("ledger") is None


@pytest.mark.parametrize("is_known", [True, False])
def test_order_that_returns_with_a_backup_is_no_newer_one(is_known):
    order = fleet.PromotionOrder("i-2", 8, "vm-1")
    lead = fleet.Lead("i-2", 6, "vm-1", False)
    made = make_view()
    items = [Item(fleet.make_lead_key("ledger"), lead, 9)]
    newer = fleet.PromotionOrder("i-3", 9, "vm-2")
    if is_known:
        items.append(Item(ORDER_KEY, newer, 9))
    made.replace(0.0, make_listing(9, *items))
    made.replace(1.0, make_copied_listing(Item(ORDER_KEY, order, 3)), 0.9)
    seen = made.get_order("ledger")
    assert seen == (view.SeenOrder(newer, 1.0) if is_known else None)
