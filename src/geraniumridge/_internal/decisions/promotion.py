"""Failover of a group's primary: detection, fencing, choice of a target.

A failover is the whole change of a group's primary, after a failure or as
operators want; the promotion is the step in which a target becomes primary.
A failover first records a pending term. A replica is promoted only once no
VM can pass on acknowledgements of the old primary any more (see
`term_evidence`), and only if it holds every acknowledged write. A log position
is a term and a position in the group's log (`records.LogPosition`).
"""

import math
import typing

from geraniumridge._internal.decisions import clock_drift
from geraniumridge._internal.models import records

OLD_PRIMARY_ELIGIBLE_AFTER_S = 3.0
"""Time after the demotion of the old primary from which it may itself be
promoted again; until then replicas may catch up with it."""


class FailoverPlan(typing.NamedTuple):
    """Facts that a failover starts from.

    `term` is the pending term. `replicas` maps each target other than the
    old primary to its domain; `required` are the replicas of which at least
    one holds each acknowledged write. `in_service` and `preferred` are the
    operators' choice of targets. `domain_count` is the number of failure
    domains, `ttl_s` the life of evidence for a term in seconds. `planned`
    tells that the old primary works and operators want another one.
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


class FailoverDecision:
    """Decision on when a target may be promoted, and which one.

    The evidence for the old term must have expired first: reads of the
    platform one TTL after the term was recorded as pending, promises once
    half of the domains have closed the group and their earlier promises have
    expired. A confirmed demotion of the old primary makes this wait
    unnecessary.

    Parameters
    ----------
    plan : FailoverPlan
        Facts that the failover starts from.
    now : float
        When the pending term was recorded, in seconds.
    """

    def __init__(self, plan, now):
        self._plan = plan
        self._reads_lapse_at = (
            now + plan.ttl_s * clock_drift.CLOCK_DRIFT_FACTOR
        )
        self._promises_lapse_at = {}
        self._demoted_log_position = None
        self._demoted_eligible_at = math.inf
        self._log_positions = {}
        self._is_old_primary_idle = False

    @property
    def plan(self):
        """Facts that the failover starts from."""
        return self._plan

    @property
    def is_demoted(self):
        """Whether the old primary has confirmed its demotion."""
        return self._demoted_log_position is not None

    def note_closed(self, domain, now, remaining_s):
        """Note that a domain has closed the group.

        Parameters
        ----------
        domain : str
            The domain.
        now : float
            When its answer arrived, in seconds.
        remaining_s : float
            How long its earlier promises may still be valid, in seconds.
        """
        self._promises_lapse_at[domain] = (
            now + remaining_s * clock_drift.CLOCK_DRIFT_FACTOR
        )

    def note_demoted(self, now, log_position):
        """Note the log position at which the old primary stopped writing."""
        self._demoted_log_position = log_position
        self._demoted_eligible_at = now + OLD_PRIMARY_ELIGIBLE_AFTER_S

    def note_status(self, target, log_position):
        """Note a target's log position."""
        if target == self._plan.old_primary:
            self._is_old_primary_idle = (
                self._log_positions.get(target) == log_position
            )
        self._log_positions[target] = log_position

    def may_demote(self):
        """Return whether to demote the old primary now.

        A planned failover first lets the writes in progress end and a
        replica catch up: the old primary's log position must have stayed the
        same and a replica must have reached it, since a demoted primary may
        not send its log any more.
        """
        if self.is_demoted or not self._plan.planned:
            return not self.is_demoted
        old = self._log_positions.get(self._plan.old_primary)
        return self._is_old_primary_idle and any(
            self._log_positions.get(name, records.LOG_START) >= old
            for name in self._plan.in_service & self._plan.replicas.keys()
        )

    def is_fenced(self, now):
        """Return whether all evidence for the old term has expired."""
        lapsed = [
            lapse_at
            for lapse_at in self._promises_lapse_at.values()
            if lapse_at <= now
        ]
        no_majority_left = len(lapsed) * 2 >= self._plan.domain_count
        return no_majority_left and now >= self._reads_lapse_at

    def choose_target(self, now):
        """Return the target to promote, or None while there is none."""
        candidates = self._list_caught_up(now)
        if not candidates and self.is_fenced(now):
            candidates = self._list_reported_replicas()
        if not candidates:
            return None
        best = max(self._log_positions[name] for name in candidates)
        # A replica at a lower position would lose acknowledged writes.
        holders = [
            name for name in candidates if self._log_positions[name] == best
        ]
        return min(holders, key=self._get_rank)

    def _list_caught_up(self, now):
        """Return the targets that hold a demoted primary's whole log."""
        if not self.is_demoted:
            return []
        return [
            name
            for name, log_position in self._log_positions.items()
            if log_position.position >= self._demoted_log_position.position
            and (
                name != self._plan.old_primary
                or now >= self._demoted_eligible_at
            )
        ]

    def _list_reported_replicas(self):
        """Return the replicas once all required ones have answered."""
        if not self._plan.required <= self._log_positions.keys():
            return []
        return [
            name for name in self._log_positions if name in self._plan.replicas
        ]

    def _get_rank(self, name):
        return (
            name != self._plan.preferred,
            name not in self._plan.in_service,
            name == self._plan.old_primary,
            name,
        )


class PrimaryObservation(typing.NamedTuple):
    """Result of one check of a primary.

    `gateway_answered` and `domain_answered` tell whether the primary's
    gateway, or any VM of its domain, answered; `is_target_silent` whether
    the gateway said that the target is silent.
    """

    gateway_answered: bool
    domain_answered: bool
    is_target_silent: bool = False


class PrimaryFailureDetector:
    """Failure detector for a group's primary, by timeouts.

    Parameters
    ----------
    gateway_timeout_s : float
        Time without an answer of its gateway after which the primary counts
        as failed, in seconds. It must be long enough for another VM of the
        domain to take over the gateway.
    domain_timeout_s : float
        Time without an answer of any VM of its domain after which the
        primary counts as failed, in seconds.
    """

    def __init__(self, gateway_timeout_s, domain_timeout_s):
        self._gateway_timeout_s = gateway_timeout_s
        self._domain_timeout_s = domain_timeout_s
        self._identity = None
        self._gateway_answered_at = -math.inf
        self._domain_answered_at = -math.inf
        self._is_target_silent = False

    def note_observation(self, now, identity, observation):
        """Note the result of one check.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        identity : tuple of int and str
            Term and primary that were checked; timeouts start again when
            they change.
        observation : PrimaryObservation
            Result of the check.
        """
        if identity != self._identity:
            self._identity = identity
            self._gateway_answered_at = self._domain_answered_at = now
            self._is_target_silent = False
        if observation.gateway_answered:
            self._gateway_answered_at = now
            self._is_target_silent = observation.is_target_silent
        if observation.gateway_answered or observation.domain_answered:
            self._domain_answered_at = now

    def has_failed(self, now, term):
        """Return whether the primary of a term counts as failed."""
        if self._identity is None or self._identity[0] != term:
            return False
        return (
            self._is_target_silent
            or now - self._gateway_answered_at > self._gateway_timeout_s
            or now - self._domain_answered_at > self._domain_timeout_s
        )


def get_required_observers(domain_count):
    """Return how many domains must find that a primary has failed.

    These are two, or one with at most two domains.
    """
    return 2 if domain_count > 2 else 1


def make_group_term(known, pending, target, position):
    """Return the `GroupTerm` that makes a promoted target the primary.

    Parameters
    ----------
    known : records.GroupTerm
        The group's term before the failover.
    pending : records.PendingTerm
        The pending term, which comes into force.
    target : str
        The promoted target.
    position : int
        Last log position that it took over from the previous term.

    Returns
    -------
    records.GroupTerm
    """
    start = records.LogPosition(pending.term, position)
    return records.GroupTerm(
        pending.term, target, (*known.starts, start), None
    )
