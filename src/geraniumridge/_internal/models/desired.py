"""Desired state that operators set, and the reported state of targets.

These are types of the proxy on the users' platform; the daemon with the
HTTP interface uses `models.config`.
"""

import enum
import typing

from geraniumridge._internal.models import records


class Consistency(enum.Enum):
    """Which commits a read must see.

    `PRIMARY` is all of them, `BOUNDED` those older than the route's
    staleness bound, `SESSION` these and the session's own.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Role(enum.Enum):
    """Replication role that a target reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Route(typing.NamedTuple):
    """Routing of the statements for one database name.

    `timeout_s` bounds one statement. `latency_objective_s` is the
    latency objective of a whole operation. `max_staleness_s` bounds the
    staleness of reads. `is_public` permits access without a key.
    `regions` holds the permitted regions; empty permits all.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    latency_objective_s: float
    attempts: int
    priority: int
    max_staleness_s: float
    is_public: bool
    regions: frozenset[str] = frozenset()


class GroupSettings(typing.NamedTuple):
    """Settings that apply to each target of a database group.

    `warmup_per_s` limits the requests per second to a target that is
    still warming up, 0 for no limit. `sync_replicas` is the number of
    replicas that must have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    warmup_per_s: float
    sync_replicas: int


class Team(typing.NamedTuple):
    """A team and its rate limit over all VMs.

    `rate_per_s` is in operations per second, `burst` in operations.
    """

    name: str
    rate_per_s: float
    burst: float
    regions: frozenset[str] = frozenset()


class DesiredState(typing.NamedTuple):
    """The operators' configuration at one version.

    `routes` is keyed by database name, `keys` maps each API key to its
    team. A transaction that is idle for `transaction_idle_timeout_s` is
    expired.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSettings]
    teams: dict[str, Team]
    keys: dict[str, str]
    transaction_idle_timeout_s: float


class Target(typing.NamedTuple):
    """One registered database instance.

    `started_ms` is the Unix time of its start in milliseconds, which
    distinguishes two runs under one id. `warmup_left_s` is the
    remaining warm-up time.
    """

    id: str
    group: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    warmup_left_s: float
    role: Role
    started_ms: int


class TargetStatus(typing.NamedTuple):
    """Status that a target reports.

    `term` is the newest term that it knows of; its log may still end in
    an earlier one. `received` is the position up to which it has
    received the log. `paused_term` is the term for which it stopped
    receiving, 0 while it receives. `lag_s` is its replication lag.
    """

    role: Role
    term: int
    received: records.LogPosition
    paused_term: int
    lag_s: float
    busy_slots: int
    connections: int
