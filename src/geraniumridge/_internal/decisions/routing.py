"""Choice of targets for a request, as a pipeline of generators."""

import typing

from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests

DEFAULT_AGE_S = 0.05
AGE_SMOOTHING = 0.2
FAULT_PENALTY_S = 1.0
MARKS_KEPT = 512


class Belief(typing.NamedTuple):
    """What is believed of a replica; times in seconds."""

    mark: records.LogPosition = records.LOG_START
    age_s: float = DEFAULT_AGE_S
    avoid_until: float = float("-inf")


class ReplicaBook:
    """What a VM learned of targets from their answers."""

    def __init__(self):
        self._beliefs = {}
        self._commits = {}

    def note_answer(self, target, mark, age_s):
        """Take what a target said of itself."""
        belief = self._get(target)
        age_s = belief.age_s + AGE_SMOOTHING * (age_s - belief.age_s)
        self._beliefs[target] = belief._replace(
            mark=max(mark, belief.mark), age_s=age_s
        )

    def note_fault(self, target, now):
        """Avoid a target for a while after it failed."""
        belief = self._get(target)
        until = now + FAULT_PENALTY_S
        self._beliefs[target] = belief._replace(avoid_until=until)

    def note_commit(self, group, mark, now):
        """Remember when a write was acknowledged."""
        commits = self._commits.setdefault(group, {})
        commits[mark] = now
        if len(commits) > MARKS_KEPT:
            del commits[next(iter(commits))]

    def is_avoided(self, target, now):
        """Tell whether a target failed a moment ago."""
        return now < self._get(target).avoid_until

    def is_behind(self, group, target, mark, now):
        """Tell whether a replica is believed not to hold a mark."""
        belief = self._get(target)
        if belief.mark >= mark:
            return False
        committed = self._commits.get(group, {}).get(mark)
        return committed is not None and now - committed < belief.age_s

    def _get(self, target):
        return self._beliefs.get(target, Belief())


class RouteQuery(typing.NamedTuple):
    """What a request needs of a target."""

    group: str
    mark: records.LogPosition
    write: bool
    primary_only: bool
    domain: str
    now: float


def list_routes(query, document, term, book):
    """Yield the routes for a request, the best first.

    Parameters
    ----------
    query : RouteQuery
        The request.
    document : models.config.Document
        The configuration in force.
    term : models.records.GroupTerm
        The group's term.
    book : ReplicaBook
        What is known of the targets.

    Yields
    ------
    models.requests.Route
    """
    routes = _list_targets(query, document, term)
    if query.write or query.primary_only:
        yield from _keep_primary(routes)
        return
    yield from _order(query, _keep_in_service(query, document, routes), book)


def _list_targets(query, document, term):
    targets = document.groups[query.group].targets
    for name, target in targets.items():
        yield requests.Route(name, target.domain, name == term.primary)


def _keep_primary(routes):
    return (route for route in routes if route.is_primary)


def _keep_in_service(query, document, routes):
    """Drop replicas that operators took out, never the primary."""
    targets = document.groups[query.group].targets
    for route in routes:
        domain = document.domains.get(route.domain)
        in_service = domain is not None and domain.in_service
        in_service = in_service and targets[route.target].in_service
        if route.is_primary or in_service:
            yield route


def _order(query, routes, book):
    def cost(route):
        behind = book.is_behind(
            query.group, route.target, query.mark, query.now
        )
        return (
            book.is_avoided(route.target, query.now),
            not route.is_primary and behind,
            route.is_primary,
            route.domain != query.domain,
            route.target,
        )

    yield from sorted(routes, key=cost)
