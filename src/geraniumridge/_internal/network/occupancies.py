"""Occupancies of targets in messages between VMs."""

import math

from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import peer_messages

MAX_NAME_BYTES = 64
"""Length of a target's id up to which it is sent; bounds the size of the
datagrams."""

MAX_CALLS = 1_000_000
"""Largest occupancy that is accepted, of the design size's 1.1 million
connections."""

MAX_AGE_S = 60.0
"""Largest age that is accepted; older ones are a fault of the sender."""


def encode(occupancies):
    """Return the message fields of `load_reports.Occupancy` items.

    Targets whose ids are longer than `MAX_NAME_BYTES`, or cannot be encoded,
    are left out.
    """
    return [
        peer_messages.TargetOccupancy(
            target=item.target,
            calls=min(round(item.calls * 1000), MAX_CALLS * 1000),
            age_ms=math.ceil(min(item.age_s, MAX_AGE_S) * 1000),
        )
        for item in occupancies
        if _is_sendable(item.target)
    ]


def decode(items, max_count):
    """Return the `load_reports.Occupancy` items of a message.

    Parameters
    ----------
    items : list of peer_messages.TargetOccupancy
        The fields, as received.
    max_count : int
        Largest number of items.

    Raises
    ------
    exceptions.ProtocolError
        If there are too many, or one is malformed or out of range.
    """
    if len(items) > max_count:
        raise exceptions.ProtocolError(f"{len(items)} occupancies")
    found = [_decode_item(item) for item in items]
    if len({item.target for item in found}) < len(found):
        raise exceptions.ProtocolError("occupancy repeated")
    return found


def _decode_item(item):
    target, calls, age_ms = item.target, item.calls, item.age_ms
    is_valid = (
        isinstance(target, str)
        and _is_sendable(target)
        and calls is not None
        and 0 <= calls <= MAX_CALLS * 1000
        and age_ms is not None
        and 0 <= age_ms <= MAX_AGE_S * 1000
    )
    if not is_valid:
        raise exceptions.ProtocolError(
            f"occupancy of {str(target)[:MAX_NAME_BYTES]!r}: {calls}, {age_ms}"
        )
    return load_reports.Occupancy(target, calls / 1000, age_ms / 1000)


def _is_sendable(target):
    try:
        return len(target.encode()) <= MAX_NAME_BYTES
    except UnicodeEncodeError:
        return False
