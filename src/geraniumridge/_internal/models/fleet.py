"""Records that the daemons keep in the platform's store."""

import typing

import msgspec

from geraniumridge._internal.utils import codec

LEADS_PREFIX = "geraniumridge/leads/"
MEMBERS_PREFIX = "geraniumridge/members/"
RELEASES_PREFIX = "geraniumridge/releases/"


class Lead(typing.NamedTuple):
    """Which target leads a group, or is being replaced.

    While `is_pending`, no VM may use `target`; `holder` is the VM
    that replaces it. `term` is the newest term known, 0 if unknown.
    """

    target: str
    term: int
    holder: str
    is_pending: bool


class Member(typing.NamedTuple):
    """One VM, under its lease.

    `boot` tells two runs apart; `is_settled` that this one has been
    registered for so long that every other VM knows of it.
    """

    vm: str
    domain: str
    address: str
    boot: str
    is_settled: bool = False


class Release(typing.NamedTuple):
    """A VM's word that it gave up a pending lead.

    `revision` is that of the pending lead.
    """

    vm: str
    revision: int


def make_lead_key(group):
    """Return the store's key of a group's lead."""
    return f"{LEADS_PREFIX}{group}"


def parse_lead_group(key):
    """Return the group that a lead's key belongs to."""
    return key.removeprefix(LEADS_PREFIX)


def make_member_key(vm):
    """Return the store's key of a VM."""
    return f"{MEMBERS_PREFIX}{vm}"


def make_release_key(group, vm):
    """Return the store's key of a VM's release of a group."""
    return f"{RELEASES_PREFIX}{group}/{vm}"


def parse_release_group(key):
    """Return the group that a release key belongs to."""
    return key.removeprefix(RELEASES_PREFIX).rpartition("/")[0]


RECORD_TYPES = {
    LEADS_PREFIX: Lead,
    MEMBERS_PREFIX: Member,
    RELEASES_PREFIX: Release,
}
"""Type of the records under each prefix."""


def encode_record(record):
    """Return the stored form of a record."""
    return msgspec.json.encode(codec.encode(record))


def decode_record(key, value):
    """Return the record of a key, None if the key is none of ours.

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
