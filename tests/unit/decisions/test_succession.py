"""Failover: which VMs to wait for, which target to promote."""

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

LogPosition = records.LogPosition
FAILOVER_REVISION = 50
RECORDED_AT = 100.0


def make_view(members=("vm-1", "vm-2")):
    store_view = view.View(lambda key, value: value)
    items = tuple(
        store.Item(fleet.make_member_key(vm), fleets.make_member(vm), 1)
        for vm in members
    )
    store_view.replace(0.0, store.Listing(items, 1))
    return store_view


def change(store_view, key, value, now, revision):
    item = store.Item(key, value, revision)
    store_view.apply(now, store.Changes((item,), revision))


def acknowledge(store_view, vm, now, revision, of=FAILOVER_REVISION):
    key = fleet.make_acknowledgement_key("ledger", vm)
    change(store_view, key, fleet.Acknowledgement(vm, of), now, revision)


def make_fence(received=None):
    return succession.Fence(
        "ledger",
        FAILOVER_REVISION,
        RECORDED_AT,
        received or succession.Acknowledgements(),
    )


def list_unacknowledged(store_view, now):
    return make_fence().list_unacknowledged(store_view, now)


def test_every_member_is_waited_for_until_it_acknowledges():
    store_view = make_view()
    fence = make_fence()
    assert list_unacknowledged(store_view, 100.1) == {"vm-1", "vm-2"}
    acknowledge(store_view, "vm-1", 100.2, 51)
    assert list_unacknowledged(store_view, 100.2) == {"vm-2"}
    assert not fence.is_established(store_view, 100.2)
    acknowledge(store_view, "vm-2", 100.3, 52)
    assert list_unacknowledged(store_view, 100.3) == set()
    assert fence.is_established(store_view, 100.3)


def test_acknowledgements_count_from_the_store_and_from_the_vms():
    store_view = make_view()
    received = succession.Acknowledgements()
    fence = make_fence(received)
    acknowledge(store_view, "vm-1", 100.1, 51)
    received.note("vm-2", "ledger", FAILOVER_REVISION - 1)
    received.note("vm-2", "other", FAILOVER_REVISION)
    assert fence.list_unacknowledged(store_view, 100.1) == {"vm-2"}
    received.note("vm-2", "ledger", FAILOVER_REVISION)
    received.note("vm-2", "ledger", FAILOVER_REVISION - 1)
    assert fence.is_established(store_view, 100.2)


def test_acknowledgement_of_an_earlier_failover_does_not_count():
    store_view = make_view()
    acknowledge(store_view, "vm-1", 90.0, 40, of=39)
    assert "vm-1" in list_unacknowledged(store_view, 100.1)


def test_fence_is_established_after_the_timeout_without_acknowledgements():
    store_view = make_view()
    late = RECORDED_AT + succession.FENCE_TIMEOUT_S
    assert not make_fence().is_established(store_view, late - 0.1)
    assert make_fence().is_established(store_view, late + 0.1)


def test_members_that_left_recently_are_waited_for():
    """Their process may still run and rely on its store view."""
    store_view = make_view()
    change(store_view, fleet.make_member_key("vm-2"), None, 99.0, 45)
    acknowledge(store_view, "vm-1", 100.1, 51)
    assert list_unacknowledged(store_view, 100.1) == {"vm-2"}


def test_members_that_left_long_before_are_not_waited_for():
    store_view = make_view()
    change(store_view, fleet.make_member_key("vm-2"), None, 90.0, 45)
    acknowledge(store_view, "vm-1", 100.1, 51)
    assert list_unacknowledged(store_view, 100.1) == set()


def test_full_timeout_applies_if_departures_may_have_been_missed():
    store_view = make_view(())
    store_view.replace(99.0, store.Listing((), 2))
    assert list_unacknowledged(store_view, 100.1) is None
    late = RECORDED_AT + succession.FENCE_TIMEOUT_S
    assert not make_fence().is_established(store_view, late - 0.1)
    assert make_fence().is_established(store_view, late + 0.1)


def find_fencing_time(store_view, fence):
    """Return how long a fence takes, in seconds, checked every 50 ms."""
    now = RECORDED_AT
    while not fence.is_established(store_view, now):
        now += 0.05
    return now - RECORDED_AT


def test_minority_of_silent_vms_is_awaited_for_less_time():
    store_view = make_view(("vm-1", "vm-2", "vm-3"))
    fence = make_fence()
    acknowledge(store_view, "vm-1", 100.05, 51)
    acknowledge(store_view, "vm-2", 100.05, 52)
    waited_s = find_fencing_time(store_view, fence)
    assert (
        primary_resolver.MAX_UNCONFIRMED_AGE_S
        < waited_s
        < primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.4
    )


def test_silent_third_of_a_large_fleet_is_awaited_for_less_time():
    """A failure domain is cut off, or the store turns some VMs away."""
    members = [f"vm-{number}" for number in range(87)]
    store_view = make_view(members)
    fence = make_fence()
    for revision, vm in enumerate(members[29:], 51):
        acknowledge(store_view, vm, 100.05, revision)
    assert (
        primary_resolver.MAX_UNCONFIRMED_AGE_S
        < find_fencing_time(store_view, fence)
        < primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.4
    )


def test_confirmations_before_a_late_acknowledgement_have_to_expire():
    store_view = make_view(("vm-1", "vm-2", "vm-3"))
    fence = make_fence()
    acknowledge(store_view, "vm-1", 100.05, 51)
    late = RECORDED_AT + primary_resolver.MAX_UNCONFIRMED_AGE_S
    assert not fence.is_established(store_view, late)
    acknowledge(store_view, "vm-2", late, 52)
    assert not fence.is_established(store_view, late)
    assert not fence.is_established(
        store_view, late + quorum.CONFIRMATION_VALID_S
    )
    end = (
        late
        + quorum.CONFIRMATION_VALID_S
        + primary_resolver.SCHEDULING_MARGIN_S
        + 0.01
    )
    assert fence.is_established(store_view, end)


def test_full_timeout_applies_to_a_majority_of_earlier_members():
    """VMs waited for may know only the members of an earlier time."""
    store_view = make_view(("vm-1", "vm-2", "vm-3"))
    for number, vm in enumerate(("vm-4", "vm-5", "vm-6"), 40):
        key = fleet.make_member_key(vm)
        change(store_view, key, fleets.make_member(vm), 99.0, number)
        acknowledge(store_view, vm, 100.05, number + 20)
    acknowledge(store_view, "vm-1", 100.05, 70)
    assert (
        find_fencing_time(store_view, make_fence())
        > primary_resolver.MAX_VIEW_AGE_S
    )


def make_replica(name, position, may_be_promoted=True, covering_position=None):
    status = position and desired.TargetStatus(
        desired.Role.REPLICA, 1, LogPosition(1, position), 2, 0.0, 0, 1
    )
    return succession.Replica(
        fleets.make_target(name),
        status or None,
        may_be_promoted,
        covering_position and LogPosition(1, covering_position),
    )


def test_replica_with_the_highest_position_is_chosen():
    replicas = [make_replica("a", 5), make_replica("b", 7)]
    assert succession.choose_successor(replicas, None).target.id == "b"


def test_no_replica_is_chosen_while_another_is_silent():
    """The silent one alone may hold the newest acknowledged commit."""
    replicas = [make_replica("a", 5), make_replica("b", None)]
    assert succession.choose_successor(replicas, None) is None


def test_silent_replicas_are_ignored_with_a_known_minimum_position():
    replicas = [make_replica("a", 5), make_replica("b", None)]
    chosen = succession.choose_successor(replicas, LogPosition(1, 5))
    assert chosen.target.id == "a"
    assert succession.choose_successor(replicas, LogPosition(1, 6)) is None


@pytest.mark.parametrize(
    ("covering_position", "chosen_id"), [(5, "a"), (6, None), (None, None)]
)
def test_departed_replica_counts_unless_its_commits_are_covered(
    covering_position, chosen_id
):
    departed = make_replica("b", None, False, covering_position)
    departed = departed._replace(has_left=True)
    chosen = succession.choose_successor(
        [make_replica("a", 5), departed], None
    )
    assert (chosen and chosen.target.id) == chosen_id


@pytest.mark.parametrize("covering_position", [5, 6, None])
def test_silent_replica_counts_although_earlier_commits_are_covered(
    covering_position,
):
    """It may have received more since, and the primary confirmed it."""
    silent = make_replica("b", None, False, covering_position)
    replicas = [make_replica("a", 5), silent]
    assert succession.choose_successor(replicas, None) is None


@pytest.mark.parametrize(
    ("covering_position", "chosen_id"), [(5, "a"), (6, None), (None, None)]
)
def test_restarted_replica_counts_unless_its_commits_are_covered(
    covering_position, chosen_id
):
    restarted = make_replica("b", 3, True, covering_position)
    restarted = restarted._replace(may_have_lost_log=True)
    replicas = [make_replica("a", 5), restarted]
    chosen = succession.choose_successor(replicas, None)
    assert (chosen and chosen.target.id) == chosen_id


def test_no_replica_behind_one_that_has_fallen_silent_is_chosen():
    """A departed replica answers, and is forgotten before it returns."""
    replicas = [make_replica("a", 5)]
    reported = LogPosition(1, 7)
    assert succession.choose_successor(replicas, None, reported) is None
    chosen = succession.choose_successor(replicas, LogPosition(1, 5), reported)
    assert chosen.target.id == "a"


def test_departed_replica_that_answers_counts_with_its_position():
    departed = make_replica("b", 7, False, 5)
    replicas = [make_replica("a", 5), departed]
    assert succession.choose_successor(replicas, None) is None


def test_no_replica_is_chosen_while_an_ineligible_one_is_ahead():
    replicas = [make_replica("a", 5), make_replica("b", 7, False)]
    assert succession.choose_successor(replicas, None) is None


@pytest.mark.parametrize("replicas", [[], [make_replica("a", 5, False)]])
def test_no_replica_is_chosen_without_candidates(replicas):
    assert succession.choose_successor(replicas, None) is None


def make_status(role, term):
    return desired.TargetStatus(role, term, LogPosition(1, 5), 0, 0.0, 0, 1)


def find_promoted_target(**found):
    lead = fleet.Lead("old", 1, "vm-1/boot", True)
    return succession.find_promoted_target(lead, found)


def test_promoted_target_is_found_though_the_old_primary_follows_it():
    """The VM that ordered it failed to record it; another VM goes on."""
    new = make_status(desired.Role.PRIMARY, 2)
    follower = make_status(desired.Role.REPLICA, 2)
    assert find_promoted_target(old=follower, new=new) == "new"
    assert find_promoted_target(old=None, new=new) == "new"


def test_primary_without_a_later_term_is_not_found():
    stale = make_status(desired.Role.PRIMARY, 1)
    present = make_status(desired.Role.PRIMARY, 2)
    assert find_promoted_target(old=None, stale=stale) is None
    assert find_promoted_target(old=present, stale=present) is None


def test_primary_with_the_newest_term_is_found_if_none_was_recorded():
    lead = fleet.Lead("", 0, "vm-1/boot", True)
    found = {
        "a": make_status(desired.Role.PRIMARY, 1),
        "b": make_status(desired.Role.PRIMARY, 3),
        "c": None,
    }
    assert succession.find_promoted_target(lead, found) == "b"


REPLICA = make_status(desired.Role.REPLICA, 2)


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({}, "a"),
        ({"b": None}, None),
        ({"b": REPLICA._replace(term=3)}, None),
        ({"b": REPLICA._replace(paused_term=3)}, None),
        ({"a": REPLICA}, None),
        ({"b": make_status(desired.Role.PRIMARY, 2)}, None),
        ({"b": make_status(desired.Role.PRIMARY, 3)}, None),
    ],
    ids=str,
)
def test_primary_is_proved_only_by_all_targets(changed, expected):
    """Guards against a former primary that a target still calls so."""
    statuses = {
        "a": make_status(desired.Role.PRIMARY, 2),
        "b": REPLICA,
        **changed,
    }
    assert succession.find_proved_primary(statuses) == expected
