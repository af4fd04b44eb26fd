"""The operators' configuration and the changes that make it up."""

import hashlib
import typing

import msgspec

from geraniumridge._internal.models import settings

Mode = typing.Literal["read", "write"]

OPEN_TEAM = "open"
"""Team that requests without a key run for, on routes open to all."""


class PlanUse(typing.NamedTuple):
    """What a plan may use.

    `rate_per_s` and `burst` hold over all VMs together; `weight` is
    the share of a target's slots under contention.
    """

    rate_per_s: typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
    burst: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    groups: dict[str, Mode]
    weight: typing.Annotated[float, msgspec.Meta(gt=0, le=1_000)] = 1.0


class KeyEntry(typing.NamedTuple):
    """One issued key; the key itself is stored as a hash only."""

    team: str
    issued: str = ""


class DomainEntry(typing.NamedTuple):
    """One failure domain."""

    in_service: bool = True
    region: str = ""


class TargetEntry(typing.NamedTuple):
    """One database instance."""

    address: settings.Address
    domain: str
    in_service: bool = True
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 3
    connections: typing.Annotated[int, msgspec.Meta(ge=2, le=10_000)] = 20


class GroupEntry(typing.NamedTuple):
    """One database group.

    `acknowledge` tells whether a write is acknowledged once the
    primary has it, or once a replica has it too. `primary` names the
    target that operators want as primary, if any.
    """

    targets: dict[str, TargetEntry]
    open_reads: bool = False
    acknowledge: typing.Literal["primary", "replica"] = "replica"
    primary: str = ""

    def list_acknowledging_replicas(self, primary):
        """Return the replicas of which one must hold a write.

        They lie outside the primary's domain where there are any.
        """
        if self.acknowledge == "primary":
            return frozenset()
        home = self.targets[primary].domain if primary in self.targets else ""
        others = [name for name in self.targets if name != primary]
        outside = [
            name for name in others if self.targets[name].domain != home
        ]
        return frozenset(outside or others)


class Document(typing.NamedTuple):
    """The whole configuration at one version."""

    plans: dict[str, str] = {}
    use: dict[str, PlanUse] = {}
    keys: dict[str, KeyEntry] = {}
    domains: dict[str, DomainEntry] = {}
    groups: dict[str, GroupEntry] = {}


class Edit(typing.NamedTuple):
    """Set one entry of a section, or remove it with ``None``."""

    section: typing.Literal["plans", "use", "keys", "domains", "groups"]
    name: settings.Name
    value: typing.Any = None


class Change(typing.NamedTuple):
    """A numbered, hash-chained set of edits."""

    version: int
    previous: str
    id: str
    author: str
    edits: tuple[Edit, ...]


ENTRY_TYPES = {
    "plans": str,
    "use": PlanUse,
    "keys": KeyEntry,
    "domains": DomainEntry,
    "groups": GroupEntry,
}


def hash_key(key):
    """Return the stored form of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()
