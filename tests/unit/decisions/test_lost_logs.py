"""Replicas that started again without the log that they held."""

from geraniumridge._internal.decisions import acknowledged_commits
from geraniumridge._internal.decisions import lost_logs
from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import records
from geraniumridge._internal.ports import store
from lib import fleets

LogPosition = records.LogPosition
REPORTED = LogPosition(1, 40)
RESTARTED_AT = 10.0


def make_view(*births):
    """Return a view that saw a target with each time of start, 10 s apart."""
    made = view.View(lambda key, value: value)
    made.replace(0.0, store.Listing((), 1))
    for number, started_ms in enumerate(births):
        target = fleets.make_target("i-1", started_ms=started_ms)
        item = store.Item("servers/i-1", target, 2 + number)
        made.apply(10.0 * number, store.Changes((item,), 2 + number))
    return made


def make_status(position):
    return desired.TargetStatus(
        desired.Role.REPLICA, 1, LogPosition(1, position), 0, 0.0, 0, 0
    )


def may_be_lost(store_view, position, now, logs=None, is_old_awaited=True):
    return (logs or lost_logs.LostLogs()).may_be_lost(
        "i-1",
        make_status(position),
        REPORTED,
        store_view,
        now,
        is_old_awaited,
    )


def test_restart_is_seen_by_the_time_of_start():
    assert make_view(1).get_restart("i-1") is None
    assert make_view(1, 1).get_restart("i-1") is None
    assert make_view(1, 2).get_restart("i-1").seen_at == RESTARTED_AT


def test_restart_is_seen_after_the_entry_had_expired():
    made = make_view(1)
    made.apply(4.0, store.Changes((store.Item("servers/i-1", None, 3),), 3))
    target = fleets.make_target("i-1", started_ms=2)
    made.apply(5.0, store.Changes((store.Item("servers/i-1", target, 4),), 4))
    assert made.get_restart("i-1").seen_at == 5.0


def test_log_of_a_restarted_replica_may_be_lost_however_long_ago():
    """It may still copy; only an answer of the primary bounds what it had."""
    made = make_view(1, 2)
    late = RESTARTED_AT + 10 * view.REMOVED_RETENTION_S
    made.expire(late)
    for now in (RESTARTED_AT + 1, late):
        assert may_be_lost(made, 30, now)
        assert not may_be_lost(made, 30, now, is_old_awaited=False)
    assert not may_be_lost(make_view(1), 30, RESTARTED_AT)


def test_restart_is_forgotten_with_the_target():
    made = make_view(1, 2)
    made.apply(20.0, store.Changes((store.Item("servers/i-1", None, 9),), 9))
    made.expire(20.0 + view.REMOVED_RETENTION_S - 1)
    assert made.get_restart("i-1").seen_at == RESTARTED_AT
    made.expire(20.0 + view.REMOVED_RETENTION_S + 1)
    assert made.get_restart("i-1") is None


def test_empty_log_may_be_lost_before_the_restart_is_registered():
    """Guards against a status that is newer than the store view."""
    logs = lost_logs.LostLogs()
    made = make_view(1)
    assert may_be_lost(made, 0, 20.0, logs)
    assert logs.get_loss_time("i-1", made) == 20.0
    later = 20.1 + lost_logs.REGISTRATION_WAIT_S
    assert not may_be_lost(made, 0, later, logs)


def make_told(position, sent_revision):
    """Return what VMs have told if one has sent a commit."""
    bound = fleet.CommitBound("b", 1, position, 0, sent_revision)
    return acknowledged_commits.ToldBounds(
        (bound,), bound.log_position, (), False
    )


def test_commit_that_another_vm_sent_after_a_restart_covers_it():
    made = make_view(1, 2)
    logs = lost_logs.LostLogs()
    positions = position_history.PositionHistory()
    restart = made.get_restart("i-1")
    earlier = make_told(7, restart.revision - 1)
    assert logs.find_covering("i-1", made, positions, earlier) is None
    told = make_told(7, restart.revision)
    covering = logs.find_covering("i-1", made, positions, told)
    assert covering == LogPosition(1, 7)
    positions.add(RESTARTED_AT + 1, LogPosition(1, 5))
    covering = logs.find_covering("i-1", made, positions, told)
    assert covering == LogPosition(1, 5)


def test_commit_after_a_restart_does_not_cover_a_later_loss():
    made = make_view(1, 2)
    revision = made.get_restart("i-1").revision
    gone = store.Item("servers/i-1", None, revision + 1)
    made.apply(20.0, store.Changes((gone,), revision + 1))
    positions = position_history.PositionHistory()
    told = make_told(7, revision)
    logs = lost_logs.LostLogs()
    assert logs.find_covering("i-1", made, positions, told) is None


def test_newest_answer_since_it_left_covers_a_departed_target():
    """It may only have lost the store, and confirm later commits."""
    made = make_view(1)
    made.apply(20.0, store.Changes((store.Item("servers/i-1", None, 9),), 9))
    positions = position_history.PositionHistory()
    logs = lost_logs.LostLogs()
    told = make_told(7, 9)
    positions.add(19.0, LogPosition(1, 5))
    assert logs.find_covering("i-1", made, positions, told) is None
    positions.add(21.0, LogPosition(1, 8))
    positions.add(22.0, LogPosition(1, 12))
    covering = logs.find_covering("i-1", made, positions, told)
    assert covering == LogPosition(1, 12)


def choose(covering_position):
    """Choose a successor beside a replica that has lost its log."""
    lagging = succession.Replica(
        fleets.make_target("i-2"), make_status(30), True
    )
    restarted = succession.Replica(
        fleets.make_target("i-1"),
        make_status(0),
        True,
        covering_position,
        may_have_lost_log=True,
    )
    chosen = succession.choose_successor([lagging, restarted], None)
    return chosen and chosen.target.id


def test_replica_that_lost_its_log_is_no_proof():
    """Guards against commits lost as the only replica with them restarted."""
    assert choose(None) is None
    assert choose(LogPosition(1, 31)) is None
    assert choose(LogPosition(1, 30)) == "i-2"
