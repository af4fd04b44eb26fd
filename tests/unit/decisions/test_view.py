"""View: never backwards, whole, patient after an outage."""

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


def test_a_listing_older_than_the_picture_is_ignored():
    picture = make_view()
    new = fleets.make_state(version=2)
    assert picture.replace(0.0, make_listing(9, Item("op", new, 9)))
    old = fleets.make_state(version=1)
    assert not picture.replace(1.0, make_listing(8, Item("op", old, 8)))
    assert picture.state.version == 2


def test_an_older_change_of_a_key_is_ignored():
    picture = make_view()
    new = fleets.make_state(version=3)
    picture.replace(0.0, make_listing(9, Item("op", new, 12)))
    old = fleets.make_state(version=2)
    picture.apply(1.0, make_changes(11, Item("op", old, 11)))
    assert picture.state.version == 3
    assert picture.revision == 11


def test_a_listing_drops_what_is_gone():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    picture.replace(1.0, make_listing(6))
    assert not picture.targets


def test_a_key_that_cannot_be_read_is_no_target_and_harms_no_other():
    picture = make_view()
    good = fleets.make_target("b")
    picture.replace(
        0.0,
        make_listing(5, Item("s/a", None or "?", 4), Item("s/b", good, 5)),
    )
    assert list(picture.targets) == ["b"]


def test_an_entry_that_becomes_unreadable_names_no_target():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    picture.apply(1.0, make_changes(6, Item("s/a", "?", 6)))
    assert not picture.targets


def test_a_target_that_lapsed_in_an_outage_is_kept_for_two_seconds():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    picture.note_return(10.0)
    picture.replace(10.0, make_listing(6))
    assert "a" in picture.targets
    picture.expire(11.9)
    assert "a" in picture.targets
    picture.expire(12.0)
    assert "a" not in picture.targets


def test_a_target_that_registers_again_stays():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    picture.note_return(10.0)
    picture.replace(10.0, make_listing(6))
    picture.apply(11.0, make_changes(7, Item("s/a", target, 7)))
    picture.expire(30.0)
    assert "a" in picture.targets


def test_a_target_that_vanishes_in_calm_is_dropped_and_remembered():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    picture.apply(1.0, make_changes(6, Item("s/a", None, 6)))
    assert not picture.targets
    assert picture.list_gone("ledger", 2.0, within_s=5.0) == [target]
    assert picture.list_gone("ledger", 9.0, within_s=5.0) == []


def test_evacuations_come_and_go():
    picture = make_view()
    order = view.Evacuation("north")
    picture.replace(0.0, make_listing(5, Item("e/north", order, 5)))
    assert picture.evacuated == {"north"}
    picture.apply(1.0, make_changes(6, Item("e/north", None, 6)))
    assert not picture.evacuated


def test_members_that_vanish_are_remembered_until_they_return():
    picture = make_view()
    key = fleet.make_member_key("vm-1")
    member = fleet.Member("vm-1", "north", "127.0.0.1:1", "boot-1")
    picture.replace(0.0, make_listing(5, Item(key, member, 5)))
    picture.apply(1.0, make_changes(6, Item(key, None, 6)))
    assert list(picture.roster.list_departures(2.0, 3.0)) == ["vm-1"]
    assert not picture.roster.list_departures(5.0, 3.0)
    again = member._replace(boot="boot-2")
    picture.apply(2.0, make_changes(7, Item(key, again, 7)))
    assert not picture.roster.list_departures(2.0, 3.0)


def test_a_short_gap_hides_no_member_and_a_long_one_may():
    picture = make_view()
    picture.replace(0.0, make_listing(5))
    picture.replace(10.0, make_listing(6), known_until=8.0)
    assert picture.whole_since == 0.0
    picture.replace(20.0, make_listing(7), known_until=16.0)
    assert picture.whole_since == 20.0


def test_releases_are_kept_by_group_and_vm():
    picture = make_view()
    key = fleet.make_release_key("ledger", "vm-1")
    release = fleet.Release("vm-1", 7)
    picture.replace(0.0, make_listing(8, Item(key, release, 8)))
    assert picture.list_releases("ledger") == {"vm-1": release}
    picture.apply(1.0, make_changes(9, Item(key, None, 9)))
    assert not picture.list_releases("ledger")


@pytest.mark.parametrize("role", list(desired.Role))
def test_groups_list_their_targets(role):
    picture = make_view()
    mine = fleets.make_target("a", role=role)
    other = fleets.make_target("b", group="other")
    picture.replace(
        0.0, make_listing(5, Item("s/a", mine, 4), Item("s/b", other, 5))
    )
    assert picture.list_group("ledger") == [mine]


def test_a_target_that_changes_its_group_is_listed_once():
    picture = make_view()
    target = fleets.make_target("a")
    picture.replace(0.0, make_listing(5, Item("s/a", target, 5)))
    moved = target._replace(group="other")
    picture.apply(1.0, make_changes(6, Item("s/a", moved, 6)))
    assert picture.list_group("ledger") == []
    assert picture.list_group("other") == [moved]
    picture.apply(2.0, make_changes(7, Item("s/a", None, 7)))
    assert picture.list_group("other") == []
