"""Succession: whom to wait for, whom to promote."""

import pytest

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import records
from geraniumridge._internal.ports import store
from lib import fleets

Mark = records.Mark
PENDING = 50
MARKED_AT = 100.0


def make_view(members=("vm-1", "vm-2")):
    picture = view.View(lambda key, value: value)
    items = tuple(
        store.Item(fleet.make_member_key(vm), fleets.make_member(vm), 1)
        for vm in members
    )
    picture.replace(0.0, store.Listing(items, 1))
    return picture


def change(picture, key, value, now, revision):
    item = store.Item(key, value, revision)
    picture.apply(now, store.Changes((item,), revision))


def release(picture, vm, now, revision, of=PENDING):
    key = fleet.make_release_key("ledger", vm)
    change(picture, key, fleet.Release(vm, of), now, revision)


def make_fence():
    return succession.Fence("ledger", PENDING, MARKED_AT)


def list_awaited(picture, now):
    return make_fence().list_awaited(picture, now)


def test_every_member_is_awaited_until_it_released():
    picture = make_view()
    fence = make_fence()
    assert list_awaited(picture, 100.1) == {"vm-1", "vm-2"}
    release(picture, "vm-1", 100.2, 51)
    assert list_awaited(picture, 100.2) == {"vm-2"}
    assert not fence.is_closed(picture, 100.2)
    release(picture, "vm-2", 100.3, 52)
    assert list_awaited(picture, 100.3) == set()
    assert fence.is_closed(picture, 100.3)


def test_a_release_of_an_earlier_lead_does_not_count():
    picture = make_view()
    release(picture, "vm-1", 90.0, 40, of=39)
    assert "vm-1" in list_awaited(picture, 100.1)


def test_silent_members_are_waited_out():
    picture = make_view()
    late = MARKED_AT + succession.WAIT_S
    assert not make_fence().is_closed(picture, late - 0.1)
    assert make_fence().is_closed(picture, late + 0.1)


def test_members_that_left_shortly_before_are_awaited():
    """Their process may live on and rely on what it knew."""
    picture = make_view()
    change(picture, fleet.make_member_key("vm-2"), None, 99.0, 45)
    release(picture, "vm-1", 100.1, 51)
    assert list_awaited(picture, 100.1) == {"vm-2"}


def test_members_that_left_long_before_are_not():
    picture = make_view()
    change(picture, fleet.make_member_key("vm-2"), None, 90.0, 45)
    release(picture, "vm-1", 100.1, 51)
    assert list_awaited(picture, 100.1) == set()


def test_who_may_have_missed_departures_waits_in_full():
    picture = make_view(())
    picture.replace(99.0, store.Listing((), 2))
    assert list_awaited(picture, 100.1) is None
    late = MARKED_AT + succession.WAIT_S
    assert not make_fence().is_closed(picture, late - 0.1)
    assert make_fence().is_closed(picture, late + 0.1)


def find_end(picture, fence):
    """Return when a fence closes, looking every 50 ms."""
    now = MARKED_AT
    while not fence.is_closed(picture, now):
        now += 0.05
    return now - MARKED_AT


def test_a_silent_minority_is_waited_out_sooner():
    picture = make_view(("vm-1", "vm-2", "vm-3"))
    fence = make_fence()
    release(picture, "vm-1", 100.05, 51)
    release(picture, "vm-2", 100.05, 52)
    waited_s = find_end(picture, fence)
    assert (
        primary_resolver.MAX_UNCONFIRMED_AGE_S
        < waited_s
        < primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.4
    )


def test_support_given_before_a_late_release_is_waited_out():
    picture = make_view(("vm-1", "vm-2", "vm-3"))
    fence = make_fence()
    release(picture, "vm-1", 100.05, 51)
    late = MARKED_AT + primary_resolver.MAX_UNCONFIRMED_AGE_S
    assert not fence.is_closed(picture, late)
    release(picture, "vm-2", late, 52)
    assert not fence.is_closed(picture, late)
    assert not fence.is_closed(picture, late + quorum.CONFIRMATION_VALID_S)
    end = (
        late
        + quorum.CONFIRMATION_VALID_S
        + primary_resolver.SCHEDULING_MARGIN_S
        + 0.01
    )
    assert fence.is_closed(picture, end)


def test_a_majority_of_an_earlier_set_of_members_is_waited_out_in_full():
    """Whoever is awaited may know only those that were there then."""
    picture = make_view(("vm-1", "vm-2", "vm-3"))
    for number, vm in enumerate(("vm-4", "vm-5", "vm-6"), 40):
        key = fleet.make_member_key(vm)
        change(picture, key, fleets.make_member(vm), 99.0, number)
        release(picture, vm, 100.05, number + 20)
    release(picture, "vm-1", 100.05, 70)
    assert find_end(picture, make_fence()) > primary_resolver.MAX_VIEW_AGE_S


def make_replica(name, position, is_eligible=True):
    status = position and desired.TargetStatus(
        desired.Role.REPLICA, 1, Mark(1, position), 2, 0.0, 0, 1
    )
    return succession.Replica(
        fleets.make_target(name), status or None, is_eligible
    )


def test_of_all_replicas_the_highest_is_chosen():
    replicas = [make_replica("a", 5), make_replica("b", 7)]
    assert succession.choose_successor(replicas, None).target.id == "b"


def test_no_one_is_chosen_while_a_replica_is_silent():
    """It alone may hold the newest acknowledged commit."""
    replicas = [make_replica("a", 5), make_replica("b", None)]
    assert succession.choose_successor(replicas, None) is None


def test_a_known_bound_makes_silent_replicas_needless():
    replicas = [make_replica("a", 5), make_replica("b", None)]
    chosen = succession.choose_successor(replicas, Mark(1, 5))
    assert chosen.target.id == "a"
    assert succession.choose_successor(replicas, Mark(1, 6)) is None


def test_no_one_is_chosen_while_one_that_leaves_is_ahead():
    replicas = [make_replica("a", 5), make_replica("b", 7, False)]
    assert succession.choose_successor(replicas, None) is None


@pytest.mark.parametrize("replicas", [[], [make_replica("a", 5, False)]])
def test_no_one_is_chosen_without_candidates(replicas):
    assert succession.choose_successor(replicas, None) is None


def make_status(role, term):
    return desired.TargetStatus(role, term, Mark(1, 5), 0, 0.0, 0, 1)


def find_leader(**found):
    lead = fleet.Lead("old", 1, "vm-1/boot", True)
    return succession.find_leader(lead, found)


def test_a_promoted_target_leads_though_the_old_primary_follows_it():
    """The holder that ordered it could not settle; another goes on."""
    new = make_status(desired.Role.PRIMARY, 2)
    follower = make_status(desired.Role.REPLICA, 2)
    assert find_leader(old=follower, new=new) == "new"
    assert find_leader(old=None, new=new) == "new"


def test_a_primary_of_no_later_term_leads_nothing():
    stale = make_status(desired.Role.PRIMARY, 1)
    present = make_status(desired.Role.PRIMARY, 2)
    assert find_leader(old=None, stale=stale) is None
    assert find_leader(old=present, stale=present) is None


def test_without_a_known_primary_the_newest_one_leads():
    lead = fleet.Lead("", 0, "vm-1/boot", True)
    found = {
        "a": make_status(desired.Role.PRIMARY, 1),
        "b": make_status(desired.Role.PRIMARY, 3),
        "c": None,
    }
    assert succession.find_leader(lead, found) == "b"
