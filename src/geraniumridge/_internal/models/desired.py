"""Desired state and what targets say of themselves, in product terms."""

import enum
import typing

from geraniumridge._internal.models import records


class Consistency(enum.Enum):
    """Which commits a read must see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Role(enum.Enum):
    """How a target sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Route(typing.NamedTuple):
    """Where statements for one database name go.

    `timeout_s` bounds one statement; `latency_objective_s` is the latency
    objective of a whole operation; `max_staleness_s` bounds the staleness of
    reads; `regions` is empty where any region will do.
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
    """What holds for each target of a database group.

    `warmup_per_s` bounds the requests a second to a target that is
    still warming up, 0 where nothing bounds them. `sync_replicas` is
    the number of replicas that must have received a commit before it
    is acknowledged.
    """

    name: str
    max_connections: int
    warmup_per_s: float
    sync_replicas: int


class Team(typing.NamedTuple):
    """A team's limit over all VMs; operations a second, and burst."""

    name: str
    rate_per_s: float
    burst: float
    regions: frozenset[str] = frozenset()


class DesiredState(typing.NamedTuple):
    """Everything that operators ask for, at one version.

    `routes` is keyed by database, `keys` maps each key to its team,
    `transaction_idle_timeout_s` is how long a transaction may rest.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSettings]
    teams: dict[str, Team]
    keys: dict[str, str]
    transaction_idle_timeout_s: float


class Target(typing.NamedTuple):
    """One registered database instance.

    `started_ms` is the Unix millisecond of its start, which tells two
    runs under one id apart; `warmup_left_s` is how long it stays slow.
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
    """What a target answers about itself.

    `term` is the term that it knows of; the log may still end in an
    earlier one. `paused_term` is the term for which it stopped
    receiving, 0 if it receives; `lag_s` is how far its log is behind.
    """

    role: Role
    term: int
    received: records.LogPosition
    paused_term: int
    lag_s: float
    busy_slots: int
    connections: int
