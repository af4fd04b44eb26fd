"""Bounds on the commits that callers were told of."""

from geraniumridge._internal.decisions import acknowledged_commits
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import records
from geraniumridge._internal.ports import store
from lib import fleets

LogPosition = records.LogPosition
REVISION = 50
RUN_END = view.RunEnd(10.0, 5)


def make_view(**boots):
    """Return a view at revision 5 of VMs by the boot of their run."""
    made = view.View(lambda key, value: value)
    items = tuple(
        store.Item(fleet.make_member_key(vm), fleets.make_member(vm, boot), 1)
        for vm, boot in boots.items()
    )
    made.replace(RUN_END.seen_at, store.Listing(items, RUN_END.revision))
    return made


def change_member(made, vm, boot, now, revision):
    value = boot and fleets.make_member(vm, boot)
    item = store.Item(fleet.make_member_key(vm), value, revision)
    made.apply(now, store.Changes((item,), revision))


def combine(made, **bounds):
    """Combine the bounds of VMs, each told by the run that it names."""
    received = succession.Acknowledgements()
    for vm, bound in bounds.items():
        received.note(vm, "ledger", REVISION, bound)
    return acknowledged_commits.combine_bounds(
        made, received, "ledger", REVISION
    )


def make_bound(position, covered_revision=0, sent_revision=3, boot="b"):
    return fleet.CommitBound(
        boot, 1, position, covered_revision, sent_revision
    )


def test_commits_are_covered_by_the_highest_position():
    commits = acknowledged_commits.AcknowledgedCommits()
    made = make_view(b="b")
    assert commits.make_bound("b", made) == fleet.CommitBound("b", 0, 0, 0)
    for position in (7, 5):
        commits.note_commit(LogPosition(1, position), 0.0, 3, None)
    assert commits.make_bound("b", made) == make_bound(7)
    commits.note_commit(LogPosition(2, 3), 0.0, 3, None)
    assert commits.make_bound("b", made) == fleet.CommitBound("b", 2, 3, 0, 3)


def test_commit_covers_runs_that_could_not_use_the_primary_any_more():
    commits = acknowledged_commits.AcknowledgedCommits()
    made = make_view(b="b")
    covers_at = RUN_END.seen_at + succession.FENCE_TIMEOUT_S
    commits.note_commit(LogPosition(1, 7), covers_at - 0.1, 3, RUN_END)
    assert commits.make_bound("b", made) == make_bound(7)
    commits.note_commit(LogPosition(1, 8), covers_at, 3, RUN_END)
    assert commits.make_bound("b", made) == make_bound(8, RUN_END.revision)
    change_member(made, "other", "b", 20.0, 9)
    assert commits.make_bound("b", made) == make_bound(8, 9)
    change_member(made, "other", None, 21.0, 10)
    assert commits.make_bound("b", made) == make_bound(8)


def test_bound_is_unknown_after_a_commit_without_a_position():
    commits = acknowledged_commits.AcknowledgedCommits()
    commits.note_commit(None, 0.0, 3, None)
    commits.note_commit(LogPosition(1, 7), 0.0, 3, None)
    assert commits.make_bound("b", make_view(b="b")) is None


def test_bound_that_no_message_can_hold_is_unknown():
    commits = acknowledged_commits.AcknowledgedCommits()
    commits.note_commit(LogPosition(1, fleet.MAX_COUNT + 1), 0.0, 3, None)
    assert commits.make_bound("b", make_view(b="b")) is None


def test_bounds_of_all_members_are_combined():
    made = make_view(**{"vm-1": "b", "vm-2": "b"})
    told = combine(made, **{"vm-1": make_bound(7, 5), "vm-2": make_bound(9)})
    assert told.is_complete and told.position == LogPosition(1, 9)


def test_member_that_has_told_nothing_is_named():
    made = make_view(**{"vm-1": "b", "vm-2": "b", "vm-3": "b"})
    told = combine(made, **{"vm-1": make_bound(7, 5), "vm-2": None})
    assert not told.is_complete
    assert told.position == LogPosition(1, 7)
    assert told.untold == ("vm-2", "vm-3")


def test_bound_of_another_run_does_not_count():
    """The new run knows nothing of what the former one passed on."""
    made = make_view(**{"vm-1": "b"})
    told = combine(made, **{"vm-1": make_bound(0, 5, boot="new")})
    assert told.untold == ("vm-1",) and not told.is_complete


def test_runs_that_ended_have_to_be_covered():
    made = make_view(**{"vm-1": "b", "vm-2": "b"})
    change_member(made, "vm-2", None, 20.0, 8)
    told = combine(made, **{"vm-1": make_bound(7, 7)})
    assert not told.untold and not told.is_complete
    told = combine(made, **{"vm-1": make_bound(7, 8)})
    assert told.is_complete and told.position == LogPosition(1, 7)


def test_new_run_of_a_vm_ends_the_former_one():
    made = make_view(**{"vm-1": "b"})
    change_member(made, "vm-1", "b", 15.0, 7)
    assert made.last_run_end == RUN_END
    change_member(made, "vm-1", "new", 20.0, 8)
    assert made.last_run_end == view.RunEnd(20.0, 8)


def test_run_that_ended_unnoticed_ends_with_the_next_listing():
    made = make_view(**{"vm-1": "b"})
    listing = store.Listing((), 9)
    made.replace(11.0, listing, confirmed_at=10.5)
    assert made.last_run_end == view.RunEnd(11.0, 9)


def test_listing_without_a_gap_ends_no_run():
    made = make_view(**{"vm-1": "b"})
    member = fleets.make_member("vm-1", "b")
    items = (store.Item(fleet.make_member_key("vm-1"), member, 1),)
    made.replace(11.0, store.Listing(items, 9), confirmed_at=10.5)
    assert made.last_run_end == RUN_END
    made.replace(99.0, store.Listing(items, 10), confirmed_at=11.0)
    assert made.last_run_end == view.RunEnd(99.0, 10)


def test_stored_acknowledgement_tells_a_bound_too():
    made = make_view(**{"vm-1": "b"})
    key = fleet.make_acknowledgement_key("ledger", "vm-1")
    acknowledgement = fleet.Acknowledgement("vm-1", REVISION, make_bound(7, 5))
    item = store.Item(key, acknowledgement, 51)
    made.apply(11.0, store.Changes((item,), 51))
    told = combine(made)
    assert told.is_complete and told.position == LogPosition(1, 7)


def test_least_position_of_a_commit_sent_after_a_revision_covers_it():
    made = make_view(**{"vm-1": "b", "vm-2": "b", "vm-3": "b"})
    told = combine(
        made,
        **{
            "vm-1": make_bound(7, sent_revision=3),
            "vm-2": make_bound(9, sent_revision=6),
            "vm-3": make_bound(12, sent_revision=8),
        },
    )
    assert told.find_covering(3) == LogPosition(1, 7)
    assert told.find_covering(4) == LogPosition(1, 9)
    assert told.find_covering(9) is None


def test_bound_of_a_vm_that_has_left_since_still_speaks_against_a_replica():
    made = make_view(**{"vm-1": "b", "vm-2": "b"})
    bounds = {"vm-1": make_bound(7, 8), "vm-2": make_bound(9)}
    change_member(made, "vm-2", None, 20.0, 8)
    assert combine(made, **bounds).position == LogPosition(1, 9)
