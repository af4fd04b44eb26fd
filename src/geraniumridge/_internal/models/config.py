"""The operators' configuration and the changes that it consists of.

It is that of the daemon with the HTTP interface; the proxy on the users'
platform uses `models.desired`.
"""

import hashlib
import typing

import msgspec

from geraniumridge._internal.models import settings

Mode = typing.Literal["read", "write"]

OPEN_TEAM = "open"
"""Team of requests without a key, which may only read groups with
`open_reads`."""


class PlanUse(typing.NamedTuple):
    """Limits and permissions of a plan.

    `rate_per_s` and `burst` limit the requests over all VMs together.
    `groups` maps each permitted group to its access mode. `weight` is
    the relative share of a target's slots under contention.
    """

    rate_per_s: typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
    burst: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    groups: dict[str, Mode]
    weight: typing.Annotated[float, msgspec.Meta(gt=0, le=1_000)] = 1.0


class KeyEntry(typing.NamedTuple):
    """One issued API key, stored under its hash.

    `issued` is the time of issue in ISO 8601 format, empty if unknown.
    """

    team: str
    issued: str = ""


class DomainEntry(typing.NamedTuple):
    """One failure domain and its region."""

    in_service: bool = True
    region: str = ""


class TargetEntry(typing.NamedTuple):
    """One database instance.

    `slots` is the number of requests and transactions that its gateway
    runs on it at the same time. `connections` bounds the connections
    that gateways open to it, of which there may be two for a while.
    """

    address: settings.Address
    domain: str
    in_service: bool = True
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 3
    connections: typing.Annotated[int, msgspec.Meta(ge=2, le=10_000)] = 20


class GroupEntry(typing.NamedTuple):
    """One database group.

    `acknowledge` says when a write is acknowledged: once the primary
    has it, or once a replica has it too. `open_reads` permits reads
    without a key. `primary` names the target that operators want as
    primary, if any.
    """

    targets: dict[str, TargetEntry]
    open_reads: bool = False
    acknowledge: typing.Literal["primary", "replica"] = "replica"
    primary: str = ""

    def list_acknowledging_replicas(self, primary):
        """Return the replicas of which one must acknowledge a write.

        These are the replicas outside the primary's failure domain, or
        all replicas if there is none outside.
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
    """The whole configuration at one version.

    `plans` maps each team to the name of its plan, `use` each plan to its
    limits, and `keys` the hash of each API key to its entry.
    """

    plans: dict[str, str] = {}
    use: dict[str, PlanUse] = {}
    keys: dict[str, KeyEntry] = {}
    domains: dict[str, DomainEntry] = {}
    groups: dict[str, GroupEntry] = {}


class Edit(typing.NamedTuple):
    """An edit that sets one entry of a section; ``None`` removes it."""

    section: typing.Literal["plans", "use", "keys", "domains", "groups"]
    name: settings.Name
    value: typing.Any = None


class Change(typing.NamedTuple):
    """A set of edits that makes one version of the configuration.

    `previous` is the hash of the change before, so that changes form a
    chain.
    """

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
"""Type of the entries of each section."""


def make_target_name(group, target):
    """Return the name of a target that is unique in all groups.

    The target's gateway is the VM on which this name is placed.
    """
    return f"{group}/{target}"


def hash_key(key):
    """Return the SHA-256 hash under which a caller's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
