"""Choice of the targets that may serve a request, in order of preference.

Reads prefer replicas in the VM's own failure domain that have not failed
recently and are expected to hold the session's last write.
"""

import typing

from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests

DEFAULT_LAG_S = 0.05
"""Replication lag that is assumed of a replica before its first answer."""

LAG_SMOOTHING = 0.2
"""Weight of the newest reported lag in its moving average."""

FAULT_AVOIDANCE_S = 1.0
"""How long a target that failed is tried after all others."""

MAX_COMMITS_KEPT = 512
"""Commit times kept for each group; bounds their memory."""


class ReplicaEstimate(typing.NamedTuple):
    """Estimated state of a replica; times are in seconds.

    `mark` is the newest log position that it reported, `lag_s` the moving
    average of its replication lag.
    """

    mark: records.LogPosition = records.LOG_START
    lag_s: float = DEFAULT_LAG_S
    avoid_until: float = float("-inf")


class ReplicaTracker:
    """Estimates of the replicas' state, made from their answers."""

    def __init__(self):
        self._estimates = {}
        self._commits = {}

    def note_answer(self, target, mark, lag_s):
        """Note the log position and replication lag of a target's answer."""
        estimate = self._get_estimate(target)
        lag_s = estimate.lag_s + LAG_SMOOTHING * (lag_s - estimate.lag_s)
        self._estimates[target] = estimate._replace(
            mark=max(mark, estimate.mark), lag_s=lag_s
        )

    def note_fault(self, target, now):
        """Note that a target failed; it is avoided for a while."""
        estimate = self._get_estimate(target)
        avoid_until = now + FAULT_AVOIDANCE_S
        self._estimates[target] = estimate._replace(avoid_until=avoid_until)

    def note_commit(self, group, mark, now):
        """Note when the write at a log position was acknowledged."""
        commits = self._commits.setdefault(group, {})
        commits[mark] = now
        if len(commits) > MAX_COMMITS_KEPT:
            del commits[next(iter(commits))]

    def is_avoided(self, target, now):
        """Return whether a target failed less than `FAULT_AVOIDANCE_S` ago."""
        return now < self._get_estimate(target).avoid_until

    def is_behind(self, group, target, mark, now):
        """Return whether a replica is expected to be behind a log position.

        That is so if the write at this position was acknowledged more
        recently than the replica's lag.
        """
        estimate = self._get_estimate(target)
        if estimate.mark >= mark:
            return False
        committed_at = self._commits.get(group, {}).get(mark)
        return committed_at is not None and now - committed_at < estimate.lag_s

    def _get_estimate(self, target):
        return self._estimates.get(target, ReplicaEstimate())


class RouteQuery(typing.NamedTuple):
    """Requirements of a request; `mark` is its session's log position."""

    group: str
    mark: records.LogPosition
    write: bool
    primary_only: bool
    domain: str
    now: float


def list_routes(query, document, term, tracker):
    """Yield the routes for a request in order of preference.

    Parameters
    ----------
    query : RouteQuery
        The request.
    document : models.config.Document
        The configuration in force.
    term : models.records.GroupTerm
        The group's term.
    tracker : ReplicaTracker
        Estimated state of the replicas.

    Yields
    ------
    models.requests.Route
    """
    routes = _make_routes(query, document, term)
    if query.write or query.primary_only:
        yield from _filter_primary(routes)
        return
    yield from _sort_routes(
        query, _filter_in_service(query, document, routes), tracker
    )


def _make_routes(query, document, term):
    targets = document.groups[query.group].targets
    for name, target in targets.items():
        yield requests.Route(name, target.domain, name == term.primary)


def _filter_primary(routes):
    return (route for route in routes if route.is_primary)


def _filter_in_service(query, document, routes):
    """Drop replicas that operators took out of service.

    The primary stays, since it serves until a failover replaces it.
    """
    targets = document.groups[query.group].targets
    for route in routes:
        domain = document.domains.get(route.domain)
        in_service = domain is not None and domain.in_service
        in_service = in_service and targets[route.target].in_service
        if route.is_primary or in_service:
            yield route


def _sort_routes(query, routes, tracker):
    def sort_key(route):
        behind = tracker.is_behind(
            query.group, route.target, query.mark, query.now
        )
        return (
            tracker.is_avoided(route.target, query.now),
            not route.is_primary and behind,
            route.is_primary,
            route.domain != query.domain,
            route.target,
        )

    yield from sorted(routes, key=sort_key)
