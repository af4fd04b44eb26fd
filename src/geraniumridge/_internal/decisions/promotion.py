"""One change of a group's primary, from its record to its choice."""

import math
import typing

from geraniumridge._internal.models import records

DRIFT = 1.1
RETURN_S = 3.0
"""How long replicas may take to catch up with a demoted primary."""


class Plan(typing.NamedTuple):
    """What a promotion knows from the start.

    `replicas` maps each other target to its domain; `required` are
    those of which one holds every acknowledged write; `domains` is
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
    domains: int
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
        self._evidence_until = now + plan.ttl_s * DRIFT
        self._closed_until = {}
        self._demoted = None
        self._return_from = math.inf
        self._marks = {}
        self._is_quiet = False

    @property
    def plan(self):
        """What the promotion knows from the start."""
        return self._plan

    @property
    def is_demoted(self):
        """Whether the old primary has confirmed its demotion."""
        return self._demoted is not None

    def note_closed(self, domain, now, remaining_s):
        """Take a domain's closing of the group to promises."""
        self._closed_until[domain] = now + remaining_s * DRIFT

    def note_demoted(self, now, mark):
        """Take the old primary's last mark; it takes no more writes."""
        self._demoted = mark
        self._return_from = now + RETURN_S

    def note_status(self, target, mark):
        """Take a target's place in the log."""
        if target == self._plan.old_primary:
            self._is_quiet = self._marks.get(target) == mark
        self._marks[target] = mark

    def may_demote(self):
        """Tell whether to demote the old primary now.

        A planned move first lets the writes in progress end and a
        replica catch up: a demoted primary may ship no log any more.
        """
        if self.is_demoted or not self._plan.planned:
            return not self.is_demoted
        old = self._marks.get(self._plan.old_primary)
        return self._is_quiet and any(
            self._marks.get(name, records.LOG_START) >= old
            for name in self._plan.in_service & self._plan.replicas.keys()
        )

    def is_fenced(self, now):
        """Tell whether earlier evidence has lapsed by itself."""
        lapsed = [
            until for until in self._closed_until.values() if until <= now
        ]
        enough = len(lapsed) * 2 >= self._plan.domains
        return enough and now >= self._evidence_until

    def choose(self, now):
        """Return the target to promote, None while there is none."""
        candidates = self._list_caught_up(now)
        if not candidates and self.is_fenced(now):
            candidates = self._list_seen()
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
            if mark.position >= self._demoted.position
            and (name != self._plan.old_primary or now >= self._return_from)
        ]

    def _list_seen(self):
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


class Sight(typing.NamedTuple):
    """One observation of a primary.

    `gateway` and `domain` tell whether the primary's gateway, or any
    VM of its domain, answered; `down` whether the gateway said that
    the target is silent.
    """

    gateway: bool
    domain: bool
    down: bool = False


class PrimaryWatch:
    """How long a group's primary has not been usable.

    Parameters
    ----------
    gateway_s : float
        How long its gateway may be silent while its domain answers,
        in seconds; placement moves within that time.
    domain_s : float
        How long its whole domain may be silent, in seconds.
    """

    def __init__(self, gateway_s, domain_s):
        self._gateway_s = gateway_s
        self._domain_s = domain_s
        self._identity = None
        self._gateway_at = -math.inf
        self._domain_at = -math.inf
        self._is_down = False

    def note(self, now, identity, sight):
        """Take one observation.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        identity : tuple of int and str
            Term and primary that were observed.
        sight : Sight
            What was seen.
        """
        if identity != self._identity:
            self._identity = identity
            self._gateway_at = self._domain_at = now
            self._is_down = False
        if sight.gateway:
            self._gateway_at = now
            self._is_down = sight.down
        if sight.gateway or sight.domain:
            self._domain_at = now

    def is_gone(self, now, term):
        """Tell whether the primary of a term is to be replaced."""
        if self._identity is None or self._identity[0] != term:
            return False
        return (
            self._is_down
            or now - self._gateway_at > self._gateway_s
            or now - self._domain_at > self._domain_s
        )


def needs_agreement(domains):
    """Return how many domains must see a primary gone."""
    return 2 if domains > 2 else 1


def make_in_force(known, pending, target, position):
    """Return the group's term once its new primary is in place."""
    start = records.LogPosition(pending.term, position)
    return records.GroupTerm(
        pending.term, target, (*known.starts, start), None
    )
