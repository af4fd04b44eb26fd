"""Changes that a VM keeps for its neighbours."""

from geraniumridge._internal.decisions import change_log
from geraniumridge._internal.ports import store


def make_item(revision, value=b"value"):
    return store.Item("key", value, revision)


def make_log(now, *revisions):
    log = change_log.ChangeLog()
    log.restart(5)
    log.add(now, [make_item(revision) for revision in revisions])
    return log


def list_revisions(log, after):
    items = log.list_after(after)
    return None if items is None else [item.revision for item in items]


def test_every_change_after_a_revision_is_listed():
    log = make_log(0.0, 6, 7, 9)
    assert list_revisions(log, 5) == [6, 7, 9]
    assert list_revisions(log, 7) == [9]
    assert list_revisions(log, 9) == []


def test_changes_before_the_listing_are_unknown():
    assert change_log.ChangeLog().list_after(0) is None
    assert list_revisions(make_log(0.0, 6), 4) is None


def test_old_changes_are_dropped():
    log = make_log(0.0, 6, 7)
    log.add(change_log.RETENTION_S + 1.0, [make_item(8)])
    assert list_revisions(log, 6) is None
    assert list_revisions(log, 7) == [8]


def test_size_is_bounded():
    log = make_log(0.0, 6)
    value = bytes(change_log.MAX_LOG_BYTES // 4)
    log.add(0.0, [make_item(revision, value) for revision in range(7, 20)])
    assert list_revisions(log, 6) is None
    assert list_revisions(log, 16) == [17, 18, 19]


def test_restart_forgets_all_changes():
    log = make_log(0.0, 6)
    log.restart(9)
    assert list_revisions(log, 6) is None
    assert list_revisions(log, 9) == []
