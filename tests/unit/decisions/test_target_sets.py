"""The set of a group's targets that the VMs keep in the store."""

from geraniumridge._internal.decisions import target_sets
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

KEY = fleet.make_targets_key("ledger")
LATER = target_sets.DEPARTED_TARGET_WAIT_S + 5.0


def make_set(*ids):
    return fleet.TargetSet(
        tuple(fleet.RecordedTarget(id, "127.0.0.1:1", "north") for id in ids)
    )


def make_view(now, registered, stored=None):
    store_view = view.View(lambda key, value: value)
    items = [
        store.Item(f"s/{id}", fleets.make_target(id), 1) for id in registered
    ]
    if stored is not None:
        items.insert(0, store.Item(KEY, make_set(*stored), 2))
    store_view.replace(now, store.Listing(tuple(items), 2))
    return store_view


def apply(store_view, now, revision, key, value):
    item = store.Item(key, value, revision)
    store_view.apply(now, store.Changes((item,), revision))


def list_wanted(store_view, now):
    update = target_sets.find_update(store_view, "ledger", now)
    return update and [item.id for item in update.targets]


def test_registered_targets_are_added_at_once():
    assert list_wanted(make_view(0.0, "ab"), 0.0) == ["a", "b"]
    assert list_wanted(make_view(0.0, "ab", "a"), 0.0) == ["a", "b"]
    assert list_wanted(make_view(0.0, "ab", "ab"), 0.0) is None
    assert list_wanted(make_view(0.0, ""), 0.0) is None


def test_departed_target_is_kept_while_failovers_wait_for_it():
    store_view = make_view(0.0, "ab", "ab")
    apply(store_view, 1.0, 3, "s/b", None)
    assert list_wanted(store_view, 2.0) is None
    assert list_wanted(store_view, LATER) == ["a"]


def test_target_that_another_vm_has_removed_is_not_added_again():
    """A VM that started since knows of it from the set alone."""
    store_view = make_view(LATER - 5.0, "a", "ab")
    assert list_wanted(store_view, LATER) is None
    apply(store_view, LATER, 3, KEY, make_set("a"))
    assert list_wanted(store_view, LATER) is None
