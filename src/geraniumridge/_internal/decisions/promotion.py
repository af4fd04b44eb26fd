"""One change of a group's primary, from its record to its choice."""

import math
import typing

from geraniumridge._internal.models import records

CLOCK_DRIFT_FACTOR = 1.1
DEMOTED_RETURN_DELAY_S = 3.0
"""How long replicas may take to catch up with a demoted primary."""


class Plan(typing.NamedTuple):
    """What a promotion knows from the start.

    `replicas` maps each other target to its domain; `required` are
    those of which one holds every acknowledged write; `domain_count` is
    how many domains there are; `planned` tells that the old primary is
    well and only to be moved.
    """

    group: str
    old_primary: str
    term: int
    replicas: dict[str, str]
    required: frozenset[str]
    in_service: frozenset[str]
    preferred: str
    domain_count: int
    ttl_s: float
    planned: bool = False


class Promotion:
    """Decides when a replica may be promoted, and which.

    Earlier evidence must have lapsed: reads of the platform one TTL
    after the term was recorded as pending, promises once half of the
    domains have closed the group and what they promised has lapsed.
    A confirmed demotion of the old primary makes that needless.

    Parameters
    ----------
    plan : Plan
        The change.
    now : float
        When the pending term was recorded, in seconds.
    """

    def __init__(self, plan, now):
        self._plan = plan
        self._reads_lapse_at = now + plan.ttl_s * CLOCK_DRIFT_FACTOR
        self._promises_lapse_at = {}
        self._demoted_mark = None
        self._demoted_eligible_at = math.inf
        self._marks = {}
        self._is_old_primary_idle = False

    @property
    def plan(self):
        """What the promotion knows from the start."""
        return self._plan

    @property
    def is_demoted(self):
        """Whether the old primary has confirmed its demotion."""
        return self._demoted_mark is not None

    def note_closed(self, domain, now, remaining_s):
        """Take a domain's closing of the group to promises."""
        self._promises_lapse_at[domain] = (
            now + remaining_s * CLOCK_DRIFT_FACTOR
        )

    def note_demoted(self, now, mark):
        """Take the old primary's last mark; it takes no more writes."""
        self._demoted_mark = mark
        self._demoted_eligible_at = now + DEMOTED_RETURN_DELAY_S

    def note_status(self, target, mark):
        """Take a target's place in the log."""
        if target == self._plan.old_primary:
            self._is_old_primary_idle = self._marks.get(target) == mark
        self._marks[target] = mark

    def may_demote(self):
        """Tell whether to demote the old primary now.

        A planned move first lets the writes in progress end and a
        replica catch up: a demoted primary may ship no log any more.
        """
        if self.is_demoted or not self._plan.planned:
            return not self.is_demoted
        old = self._marks.get(self._plan.old_primary)
        return self._is_old_primary_idle and any(
            self._marks.get(name, records.NO_MARK) >= old
            for name in self._plan.in_service & self._plan.replicas.keys()
        )

    def is_fenced(self, now):
        """Tell whether earlier evidence has lapsed by itself."""
        lapsed = [
            lapse_at
            for lapse_at in self._promises_lapse_at.values()
            if lapse_at <= now
        ]
        no_majority_left = len(lapsed) * 2 >= self._plan.domain_count
        return no_majority_left and now >= self._reads_lapse_at

    def choose_target(self, now):
        """Return the target to promote, None while there is none."""
        candidates = self._list_caught_up(now)
        if not candidates and self.is_fenced(now):
            candidates = self._list_reported_replicas()
        if not candidates:
            return None
        best = max(self._marks[name] for name in candidates)
        # A lower replica would lose acknowledged writes.
        holders = [name for name in candidates if self._marks[name] == best]
        return min(holders, key=self._get_rank)

    def _list_caught_up(self, now):
        """Return targets that hold all of a demoted primary's log."""
        if not self.is_demoted:
            return []
        return [
            name
            for name, mark in self._marks.items()
            if mark.position >= self._demoted_mark.position
            and (
                name != self._plan.old_primary
                or now >= self._demoted_eligible_at
            )
        ]

    def _list_reported_replicas(self):
        """Return the replicas, once all that may hold a write are seen."""
        if not self._plan.required <= self._marks.keys():
            return []
        return [name for name in self._marks if name in self._plan.replicas]

    def _get_rank(self, name):
        return (
            name != self._plan.preferred,
            name not in self._plan.in_service,
            name == self._plan.old_primary,
            name,
        )


class PrimaryObservation(typing.NamedTuple):
    """One observation of a primary.

    `gateway_answered` and `domain_answered` tell whether the primary's
    gateway, or any VM of its domain, answered; `is_target_down` whether
    the gateway said that the target is silent.
    """

    gateway_answered: bool
    domain_answered: bool
    is_target_down: bool = False


class PrimaryFailureDetector:
    """How long a group's primary has not been usable.

    Parameters
    ----------
    gateway_timeout_s : float
        How long its gateway may be silent while its domain answers,
        in seconds; placement moves within that time.
    domain_timeout_s : float
        How long its whole domain may be silent, in seconds.
    """

    def __init__(self, gateway_timeout_s, domain_timeout_s):
        self._gateway_timeout_s = gateway_timeout_s
        self._domain_timeout_s = domain_timeout_s
        self._identity = None
        self._gateway_answered_at = -math.inf
        self._domain_answered_at = -math.inf
        self._is_down = False

    def note_observation(self, now, identity, observation):
        """Take one observation.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        identity : tuple of int and str
            Term and primary that were observed.
        observation : PrimaryObservation
            What was seen.
        """
        if identity != self._identity:
            self._identity = identity
            self._gateway_answered_at = self._domain_answered_at = now
            self._is_down = False
        if observation.gateway_answered:
            self._gateway_answered_at = now
            self._is_down = observation.is_target_down
        if observation.gateway_answered or observation.domain_answered:
            self._domain_answered_at = now

    def has_failed(self, now, term):
        """Tell whether the primary of a term is to be replaced."""
        if self._identity is None or self._identity[0] != term:
            return False
        return (
            self._is_down
            or now - self._gateway_answered_at > self._gateway_timeout_s
            or now - self._domain_answered_at > self._domain_timeout_s
        )


def get_required_observers(domain_count):
    """Return how many domains must see a primary gone."""
    return 2 if domain_count > 2 else 1


def make_group_term(known, pending, target, position):
    """Return the group's term once its new primary is in place."""
    start = records.Mark(pending.term, position)
    return records.GroupTerm(
        pending.term, target, (*known.starts, start), None
    )
