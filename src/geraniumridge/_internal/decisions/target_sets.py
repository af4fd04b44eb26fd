"""Set of a group's targets that is kept in the store.

A replica that left may hold the only copy of an acknowledged commit. VMs
that all restart afterwards learn from the set that it existed.
"""

from geraniumridge._internal.models import fleet

DEPARTED_TARGET_WAIT_S = 30.0
"""How long a target that is no longer registered is still queried, and
waited for unless its commits are known to be elsewhere. It may only have
lost its connection to the store, or start again with its log."""


def find_update(view, group, now):
    """Return the `fleet.TargetSet` to write for a group.

    Registered targets are added at once; those that have left are removed
    when no failover waits for them any more.

    Parameters
    ----------
    view : decisions.view.View
        The store view.
    group : str
        The group.
    now : float
        Clock time, in seconds.

    Returns
    -------
    fleet.TargetSet or None
        None if the stored set is up to date.
    """
    stored = view.get_target_set(group)
    stored_ids = {item.id for item in stored.targets} if stored else set()
    targets = [
        *view.list_group(group),
        *_list_kept(view, group, stored_ids, now),
    ]
    if stored_ids == {item.id for item in targets}:
        return None
    return fleet.TargetSet(
        tuple(
            fleet.RecordedTarget(item.id, item.address, item.domain)
            for item in sorted(targets, key=lambda target: target.id)
        )
    )


def _list_kept(view, group, stored_ids, now):
    """Yield the departed targets that belong to the set.

    One that this view knows from the set alone is kept there, but not added
    again: a VM that runs for longer has removed it.
    """
    wait_s = DEPARTED_TARGET_WAIT_S
    for target in view.list_recently_removed(group, now, wait_s):
        was_seen = view.find_recently_removed(target.id, now, wait_s)
        if was_seen or target.id in stored_ids:
            yield target
