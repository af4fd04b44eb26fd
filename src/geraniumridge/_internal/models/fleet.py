"""Records that the proxies on the users' platform keep in its store.

The daemon with the HTTP interface uses `models.membership` and
`models.records` instead.
"""

import typing

import msgspec

from geraniumridge._internal.utils import codec

LEADS_PREFIX = "geraniumridge/leads/"
MEMBERS_PREFIX = "geraniumridge/members/"
ACKNOWLEDGEMENTS_PREFIX = "geraniumridge/releases/"
"""Prefix of the acknowledgements; the store keeps the older word."""
TARGETS_PREFIX = "geraniumridge/targets/"
ORDERS_PREFIX = "geraniumridge/orders/"


class Lead(typing.NamedTuple):
    """Leadership record of a group: its primary, or a failover.

    While `is_pending`, a failover is in progress: no VM may use
    `target`, the old primary, and `holder` is ``VM/boot`` of the daemon
    that runs the failover. Afterwards `target` is the primary and
    `holder` the name of the VM that completed the failover. `term` is
    the newest term known, 0 if unknown.
    """

    target: str
    term: int
    holder: str
    is_pending: bool


class Member(typing.NamedTuple):
    """Registration of one VM, which its lease keeps alive.

    `boot` distinguishes two runs of the proxy. `is_settled` marks a
    stable member: its lease was opened long enough ago that every other
    VM knows of it.
    """

    vm: str
    domain: str
    address: str
    boot: str
    is_settled: bool = False


class Acknowledgement(typing.NamedTuple):
    """A VM's acknowledgement that it stopped using a primary.

    `revision` is the store's revision of the leadership record whose
    failover is acknowledged.
    """

    vm: str
    revision: int


class RecordedTarget(typing.NamedTuple):
    """Identity and address of a target, kept after it has left."""

    id: str
    address: str
    domain: str


class PromotionOrder(typing.NamedTuple):
    """An order to promote a target, recorded before it is sent.

    It may be carried out long after its answer was given up. `fence` is
    its fencing token, the revision of the failover's leadership record;
    `holder` is the VM that sends it.
    """

    target: str
    fence: int
    holder: str


class TargetSet(typing.NamedTuple):
    """All targets of a group that may hold acknowledged commits.

    A VM that starts learns from it of targets that left before.
    """

    targets: tuple[RecordedTarget, ...]


def make_lead_key(group):
    """Return the store's key of a group's leadership record."""
    return f"{LEADS_PREFIX}{group}"


def parse_lead_group(key):
    """Return the group that a leadership record's key belongs to."""
    return key.removeprefix(LEADS_PREFIX)


def make_member_key(vm):
    """Return the store's key of a VM's registration."""
    return f"{MEMBERS_PREFIX}{vm}"


def make_acknowledgement_key(group, vm):
    """Return the store's key of a VM's acknowledgement for a group."""
    return f"{ACKNOWLEDGEMENTS_PREFIX}{group}/{vm}"


def parse_acknowledgement_group(key):
    """Return the group that an acknowledgement's key belongs to."""
    return key.removeprefix(ACKNOWLEDGEMENTS_PREFIX).rpartition("/")[0]


def make_targets_key(group):
    """Return the store's key of a group's `TargetSet`."""
    return f"{TARGETS_PREFIX}{group}"


def parse_targets_group(key):
    """Return the group that a `TargetSet`'s key belongs to."""
    return key.removeprefix(TARGETS_PREFIX)


def make_order_key(group):
    """Return the store's key of a group's `PromotionOrder`."""
    return f"{ORDERS_PREFIX}{group}"


def parse_order_group(key):
    """Return the group that a `PromotionOrder`'s key belongs to."""
    return key.removeprefix(ORDERS_PREFIX)


RECORD_TYPES = {
    LEADS_PREFIX: Lead,
    MEMBERS_PREFIX: Member,
    ACKNOWLEDGEMENTS_PREFIX: Acknowledgement,
    TARGETS_PREFIX: TargetSet,
    ORDERS_PREFIX: PromotionOrder,
}
"""Type of the records under each key prefix."""


def encode_record(record):
    """Return the stored form of a record."""
    return msgspec.json.encode(codec.encode(record))


def decode_record(key, value):
    """Decode a record; return None if its key has none of the prefixes.

    Raises
    ------
    exceptions.SettingsError
        If a field is missing or of another type.
    msgspec.DecodeError
        If the value is not JSON.
    """
    for prefix, kind in RECORD_TYPES.items():
        if key.startswith(prefix):
            return codec.decode(kind, msgspec.json.decode(value), key)
    return None
