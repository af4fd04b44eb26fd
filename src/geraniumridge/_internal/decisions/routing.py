"""Choice of the targets that may serve a request, in order of preference.

Reads prefer replicas in the VM's own failure domain that have not failed
recently and are expected to hold the session's last write.
"""

import typing

from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests

DEFAULT_DATA_AGE_S = 0.05
"""Age that a replica's data is assumed to have before its first answer."""

DATA_AGE_SMOOTHING = 0.2
"""Weight of the newest reported data age in its moving average."""

FAULT_AVOIDANCE_S = 1.0
"""How long a target that failed is tried after all others."""

MAX_COMMITS_KEPT = 512
"""Commit times kept for each group; bounds their memory."""


class ReplicaEstimate(typing.NamedTuple):
    """Estimated state of a target, also of a primary; times in seconds.

    `log_position` is the newest one that it reported, `data_age_s` the
    moving average of the age of its data. The target is avoided until
    `avoid_until`, as it failed.
    """

    log_position: records.LogPosition = records.LOG_START
    data_age_s: float = DEFAULT_DATA_AGE_S
    avoid_until: float = float("-inf")


class ReplicaTracker:
    """Estimates of the targets' state, from their answers and failures.

    Primaries are included.
    """

    def __init__(self):
        self._estimates = {}
        self._commits = {}

    def note_answer(self, target, log_position, data_age_s):
        """Note the log position and data age of a target's answer."""
        estimate = self._get_estimate(target)
        data_age_s = estimate.data_age_s + DATA_AGE_SMOOTHING * (
            data_age_s - estimate.data_age_s
        )
        self._estimates[target] = estimate._replace(
            log_position=max(log_position, estimate.log_position),
            data_age_s=data_age_s,
        )

    def note_fault(self, target, now):
        """Note that a target failed; it is avoided for a while."""
        estimate = self._get_estimate(target)
        avoid_until = now + FAULT_AVOIDANCE_S
        self._estimates[target] = estimate._replace(avoid_until=avoid_until)

    def note_commit(self, group, log_position, now):
        """Note when the write at a log position was acknowledged."""
        commits = self._commits.setdefault(group, {})
        commits[log_position] = now
        if len(commits) > MAX_COMMITS_KEPT:
            del commits[next(iter(commits))]

    def is_avoided(self, target, now):
        """Return whether a target failed less than `FAULT_AVOIDANCE_S` ago."""
        return now < self._get_estimate(target).avoid_until

    def is_behind(self, group, target, log_position, now):
        """Return whether a replica is expected to be behind a log position.

        That is so if the write at this position was acknowledged more
        recently than the age of the replica's data.
        """
        estimate = self._get_estimate(target)
        if estimate.log_position >= log_position:
            return False
        committed_at = self._commits.get(group, {}).get(log_position)
        return (
            committed_at is not None
            and now - committed_at < estimate.data_age_s
        )

    def _get_estimate(self, target):
        return self._estimates.get(target, ReplicaEstimate())


class RouteQuery(typing.NamedTuple):
    """Requirements of a request; `log_position` is its session's."""

    group: str
    log_position: records.LogPosition
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
        Estimated state of the targets.

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
            query.group, route.target, query.log_position, query.now
        )
        return (
            tracker.is_avoided(route.target, query.now),
            not route.is_primary and behind,
            route.is_primary,
            route.domain != query.domain,
            route.target,
        )

    yield from sorted(routes, key=sort_key)
