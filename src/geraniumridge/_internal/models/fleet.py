"""Records that the proxies on the users' platform keep in its store.

The daemon with the HTTP interface uses `models.membership` and
`models.records` instead.
"""

import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records
from geraniumridge._internal.utils import addresses
from geraniumridge._internal.utils import codec

LEADS_PREFIX = "geraniumridge/leads/"
MEMBERS_PREFIX = "geraniumridge/members/"
ACKNOWLEDGEMENTS_PREFIX = "geraniumridge/releases/"
"""Prefix of the acknowledgements; the store keeps the older word."""
TARGETS_PREFIX = "geraniumridge/targets/"
ORDERS_PREFIX = "geraniumridge/orders/"
USAGE_REPORTER_KEY = "geraniumridge/usage/reporter"
USAGE_RECORDS_PREFIX = "geraniumridge/usage/windows/"


MAX_COUNT = 2**53
"""Largest term, position or revision; larger ones come from a broken
writer."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A term, position or revision."""

MAX_WINDOW_DIGITS = 15
"""Digits of the largest window that a key may name; more come from a broken
writer."""


class Lead(typing.NamedTuple):
    """Leadership record of a group: its primary, or a failover.

    While `is_pending`, a failover is in progress: no VM may use
    `target`, the old primary, and `holder` is ``VM/boot`` of the daemon
    that runs the failover. Afterwards `target` is the primary and
    `holder` the name of the VM that completed the failover. `term` is
    the newest term known, 0 if unknown. `era` is the era of the store for
    which the record was written: in a later one it is only a copy, and may
    name a former primary. `may_keep_target` is whether a failover may end
    with the old primary if that answers again; whoever takes the failover
    over has to know.
    """

    target: str
    term: Count
    holder: str
    is_pending: bool
    era: Count = 0
    may_keep_target: bool = True


UNREADABLE_LEAD = Lead("", 0, "", True)
"""Stands for a leadership record that cannot be decoded: no VM may use a
primary until one of them has completed a failover."""


class Member(typing.NamedTuple):
    """Registration of one VM, which its lease keeps alive.

    `boot` distinguishes two runs of the proxy. `is_settled` marks a
    stable member: it was registered long enough ago that every other VM
    knows of it.
    """

    vm: str
    domain: str
    address: str
    boot: str
    is_settled: bool = False


class CommitBound(typing.NamedTuple):
    """Bound on the acknowledged commits that one run of a VM passed on.

    `term` and `position` are a log position of the primary that covers them
    all. It also covers what the daemons passed on whose end the store showed
    up to the revision `covered_revision`, and all commits acknowledged before
    the store had reached `sent_revision`. `boot` is that of the run.
    """

    boot: str
    term: Count
    position: Count
    covered_revision: Count
    sent_revision: Count = 0

    @property
    def log_position(self):
        """`term` and `position` as a `records.LogPosition`."""
        return records.LogPosition(self.term, self.position)


class Acknowledgement(typing.NamedTuple):
    """A VM's acknowledgement that it stopped using a primary.

    `revision` is the store's revision of the leadership record whose
    failover is acknowledged. `bound` is None if the VM does not know one.
    """

    vm: str
    revision: Count
    bound: CommitBound | None = None


class RecordedTarget(typing.NamedTuple):
    """Identity and address of a target, kept after it has left."""

    id: str
    address: str
    domain: str


class PromotionOrder(typing.NamedTuple):
    """An order to promote a target, recorded before it is sent.

    It may be carried out long after its answer was given up. `fence` is
    its fencing token, the revision of the failover's leadership record;
    `holder` is the VM that sends it. `attempt` counts the orders of the
    failover up to this one, 0 in a record of an earlier version.
    """

    target: str
    fence: Count
    holder: str
    attempt: Count = 0


UNREADABLE_ORDER = PromotionOrder("", 0, "")
"""Stands for an order that cannot be decoded: until it expires, no target
becomes primary."""


class UsageReporter(typing.NamedTuple):
    """The VM that reports the usage, under a lease of its own.

    The revision of this record is the reporter's fencing token.
    """

    vm: str
    boot: str
    lease: Count


UNREADABLE_USAGE_REPORTER = UsageReporter("", "", 0)
"""Stands for a reporter that cannot be decoded: no VM takes its place until
its lease should have ended."""


class UsageRecord(typing.NamedTuple):
    """The report of one window, recorded before it is sent.

    `fence` is the fencing token of the reporter that recorded it and `holder`
    its VM. `counts` are the requests of each team.
    """

    fence: Count
    holder: str
    counts: dict[str, Count]

    @property
    def is_readable(self):
        """Whether this is not `UNREADABLE_USAGE_RECORD`."""
        return bool(self.holder)


UNREADABLE_USAGE_RECORD = UsageRecord(0, "", {})
"""Stands for the record of a window that cannot be decoded: the window is
neither sent nor recorded again."""


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


def make_usage_key(window):
    """Return the store's key of a window's `UsageRecord`."""
    return f"{USAGE_RECORDS_PREFIX}{window}"


def parse_usage_window(key):
    """Return the window that a key belongs to, or None if it names none."""
    text = key.removeprefix(USAGE_RECORDS_PREFIX)
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_WINDOW_DIGITS:
        return None
    return int(text) if str(int(text)) == text else None


RECORD_TYPES = {
    LEADS_PREFIX: Lead,
    MEMBERS_PREFIX: Member,
    ACKNOWLEDGEMENTS_PREFIX: Acknowledgement,
    TARGETS_PREFIX: TargetSet,
    ORDERS_PREFIX: PromotionOrder,
    USAGE_REPORTER_KEY: UsageReporter,
    USAGE_RECORDS_PREFIX: UsageRecord,
}
"""Type of the records under each key prefix."""


def encode_record(record):
    """Return the stored form of a record."""
    return msgspec.json.encode(codec.encode(record))


def decode_record(key, value):
    """Decode a record; return None if its key has none of the prefixes.

    Fields that this version does not know are left out.

    Raises
    ------
    exceptions.SettingsError
        If a field is missing, of another type or out of its bounds, or does
        not match the key.
    msgspec.DecodeError
        If the value is not JSON.
    """
    for prefix, kind in RECORD_TYPES.items():
        if key.startswith(prefix):
            data = msgspec.json.decode(value)
            record = codec.decode(kind, data, key, ignores_unknown_keys=True)
            _check_record(key, record)
            return record
    return None


def get_unreadable_record(key):
    """Return what stands for a record that cannot be decoded, or None."""
    if key.startswith(LEADS_PREFIX):
        return UNREADABLE_LEAD
    if key.startswith(ORDERS_PREFIX):
        return UNREADABLE_ORDER
    if key == USAGE_REPORTER_KEY:
        return UNREADABLE_USAGE_REPORTER
    if key.startswith(USAGE_RECORDS_PREFIX):
        return UNREADABLE_USAGE_RECORD
    return None


def _check_record(key, record):
    """Check the fields whose values `codec` does not check."""
    problems = []
    if isinstance(record, Member) and key != make_member_key(record.vm):
        problems.append("vm: Does not match the key")
    if isinstance(record, Acknowledgement):
        group = parse_acknowledgement_group(key)
        if key != make_acknowledgement_key(group, record.vm):
            problems.append("vm: Does not match the key")
    if isinstance(record, UsageRecord):
        if not record.holder:
            problems.append("holder: Is empty")
        if parse_usage_window(key) is None:
            problems.append("window: The key names none")
    for address in _list_addresses(record):
        try:
            addresses.check_ip_address(address)
        except ValueError as error:
            problems.append(f"address: {error}")
    if problems:
        raise exceptions.SettingsError(key, problems)


def _list_addresses(record):
    if isinstance(record, Member):
        return [record.address]
    if isinstance(record, TargetSet):
        return [target.address for target in record.targets]
    return []
