"""Queue before a target's slots, fair between teams.

Start-time fair queueing: each team's requests get tags that grow by
the inverse of the team's weight; the lowest tag is served first. A
team that was idle starts at the present, so it gains no credit.
"""

import collections
import typing

from geraniumridge._internal import exceptions


class Entry(typing.NamedTuple):
    """One request in the queue; times in seconds."""

    tag: float
    deadline: float
    item: typing.Any


class _TeamQueue:
    """Waiting requests of one team."""

    __slots__ = ("entries", "last_tag")

    def __init__(self):
        self.entries = collections.deque()
        self.last_tag = 0.0


class FairQueue:
    """Requests that wait for a slot.

    Parameters
    ----------
    max_per_team : int
        Most requests that one team may have waiting.
    """

    def __init__(self, max_per_team):
        self._max_per_team = max_per_team
        self._teams = {}
        self._virtual_time = 0.0

    def __len__(self):
        return sum(len(team.entries) for team in self._teams.values())

    def push(self, team, weight, deadline, item):
        """Add a request.

        Raises
        ------
        exceptions.OverloadedError
            If the team's queue is full.
        """
        queue = self._teams.setdefault(team, _TeamQueue())
        if len(queue.entries) >= self._max_per_team:
            raise exceptions.OverloadedError(
                f"team {team}: {self._max_per_team} requests wait already"
            )
        tag = max(self._virtual_time, queue.last_tag) + 1.0 / weight
        queue.last_tag = tag
        queue.entries.append(Entry(tag, deadline, item))

    def pop(self, now):
        """Remove and return the next item, None if there is none.

        Items past their deadline are dropped on the way.
        """
        while True:
            team = self._find_next_team(now)
            if team is None:
                return None
            entry = self._teams[team].entries.popleft()
            self._virtual_time = max(self._virtual_time, entry.tag)
            if entry.deadline > now:
                return entry.item

    def _find_next_team(self, now):
        best = None
        for name, queue in list(self._teams.items()):
            while queue.entries and queue.entries[0].deadline <= now:
                queue.entries.popleft()
            if not queue.entries:
                if queue.last_tag <= self._virtual_time:
                    del self._teams[name]
                continue
            tag = queue.entries[0].tag
            if best is None or tag < best[0]:
                best = (tag, name)
        return best and best[1]
