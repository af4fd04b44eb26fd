"""Queue of requests for a target's slots, fair between teams.

Self-clocked fair queueing: each request gets a finish tag, which is greater
than the tag of the team's previous request by the inverse of the team's
weight. The request with the lowest tag is served first, and its tag is the
virtual time. The first tag after an idle period counts from the virtual
time, so that a team gains no credit by being idle.
"""

import collections
import typing

from geraniumridge._internal import exceptions


class QueuedRequest(typing.NamedTuple):
    """One waiting request; `deadline` is in seconds, `tag` its finish tag."""

    tag: float
    deadline: float
    item: typing.Any


class _TeamQueue:
    """Waiting requests of one team and the tag of its newest one."""

    __slots__ = ("requests", "last_tag")

    def __init__(self):
        self.requests = collections.deque()
        self.last_tag = 0.0


class FairQueue:
    """Requests of all teams that wait for a slot.

    Parameters
    ----------
    max_per_team : int
        Maximum number of waiting requests of one team.
    """

    def __init__(self, max_per_team):
        self._max_per_team = max_per_team
        self._teams = {}
        self._virtual_time = 0.0

    def __len__(self):
        return sum(len(team.requests) for team in self._teams.values())

    def push(self, team, weight, deadline, item):
        """Add a request.

        Parameters
        ----------
        team : str
            Team that sent the request.
        weight : float
            The team's weight; a team with twice the weight is served twice
            as often.
        deadline : float
            When the request expires, in seconds.
        item : object
            What `pop` returns for the request.

        Raises
        ------
        exceptions.OverloadedError
            If the team's queue is full.
        """
        queue = self._teams.setdefault(team, _TeamQueue())
        if len(queue.requests) >= self._max_per_team:
            raise exceptions.OverloadedError(
                f"team {team}: {self._max_per_team} requests wait already"
            )
        tag = max(self._virtual_time, queue.last_tag) + 1.0 / weight
        queue.last_tag = tag
        queue.requests.append(QueuedRequest(tag, deadline, item))

    def pop(self, now):
        """Remove and return the next item, None if there is none.

        Requests past their deadline are dropped.
        """
        while True:
            team = self._find_next_team(now)
            if team is None:
                return None
            request = self._teams[team].requests.popleft()
            self._virtual_time = max(self._virtual_time, request.tag)
            if request.deadline > now:
                return request.item

    def _find_next_team(self, now):
        best = None
        for name, queue in list(self._teams.items()):
            while queue.requests and queue.requests[0].deadline <= now:
                queue.requests.popleft()
            if not queue.requests:
                if queue.last_tag <= self._virtual_time:
                    del self._teams[name]
                continue
            tag = queue.requests[0].tag
            if best is None or tag < best[0]:
                best = (tag, name)
        return best and best[1]
