"""Recent changes of the store, kept for the other VMs of the domain."""

import collections
import typing

from geraniumridge._internal.ports import store

RETENTION_S = 10.0
"""How long a change is kept. A VM that follows its domain's reader asks for
changes several times a second."""

MAX_LOG_BYTES = 2**20
"""Largest size of the kept values; older changes are dropped."""


class _TimedItem(typing.NamedTuple):
    """A change and the clock time at which it was added, in seconds."""

    item: store.Item
    added_at: float


class ChangeLog:
    """All changes after a revision, in order.

    Every change is kept, not only the last one of a key: a member that joined
    and left must not go unnoticed.
    """

    def __init__(self):
        self._entries = collections.deque()
        self._start = None
        self._size = 0

    def restart(self, revision):
        """Forget all changes; those after a revision follow."""
        self._entries.clear()
        self._size = 0
        self._start = revision

    def add(self, now, items):
        """Add the next changes, sorted by revision."""
        for item in items:
            self._entries.append(_TimedItem(item, now))
            self._size += _get_size(item)
        while self._entries and self._is_oldest_expired(now):
            dropped = self._entries.popleft().item
            self._size -= _get_size(dropped)
            self._start = dropped.revision

    def list_after(self, revision):
        """Return the changes after a revision, None if some are unknown."""
        if self._start is None or revision < self._start:
            return None
        return [
            entry.item
            for entry in self._entries
            if entry.item.revision > revision
        ]

    def _is_oldest_expired(self, now):
        is_old = now - self._entries[0].added_at > RETENTION_S
        return is_old or self._size > MAX_LOG_BYTES


def _get_size(item):
    return len(item.key) + len(item.value or b"")
