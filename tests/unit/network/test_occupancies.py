"""Occupancies of targets in messages between VMs."""

import pytest

from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import occupancies
from geraniumridge._internal.proxy import view_exchange

Occupancy = load_reports.Occupancy
TargetOccupancy = datagrams.messages.TargetOccupancy

LONGEST_NAME = "ä" * (occupancies.MAX_NAME_BYTES // 2)


def test_occupancies_are_unchanged_but_for_rounding():
    sent = [Occupancy("i-1", 1.2345, 0.3), Occupancy("i-2", 0.0, 0.0)]
    found = occupancies.decode(occupancies.encode(sent), 2)
    assert found == [Occupancy("i-1", 1.234, 0.3), Occupancy("i-2", 0.0, 0.0)]


def test_values_beyond_the_bounds_are_cut_and_long_names_left_out():
    sent = [
        Occupancy("i-1", 1e12, 1e9),
        Occupancy("i" * 65, 1.0, 0.3),
        Occupancy("\ud800", 1.0, 0.3),
    ]
    (found,) = occupancies.decode(occupancies.encode(sent), 2)
    assert found.calls == occupancies.MAX_CALLS
    assert found.age_s == occupancies.MAX_AGE_S


@pytest.mark.parametrize(
    "fields",
    [
        {"target": None},
        {"target": b"\xff"},
        {"target": "i" * 65},
        {"calls": None},
        {"calls": -1},
        {"calls": 2**31 - 1},
        {"age_ms": None},
        {"age_ms": -1},
        {"age_ms": 2**31 - 1},
    ],
)
def test_malformed_and_huge_values_are_refused(fields):
    """One VM with a fault could draw all reads away from a target."""
    values = {"target": "i-1", "calls": 5, "age_ms": 300, **fields}
    with pytest.raises(exceptions.ProtocolError):
        occupancies.decode([TargetOccupancy(**values)], 2)


def test_too_many_and_repeated_targets_are_refused():
    items = occupancies.encode(
        Occupancy(f"i-{number}", 1.0, 0.3) for number in range(3)
    )
    with pytest.raises(exceptions.ProtocolError):
        occupancies.decode(items, 2)
    with pytest.raises(exceptions.ProtocolError):
        occupancies.decode(items[:1] * 2, 2)


def test_largest_messages_fit_into_a_datagram():
    """A longer one would be truncated, and the store's changes be lost."""

    def make_items(count):
        return [
            TargetOccupancy(
                target=f"{number:03}{LONGEST_NAME[:30]}x",
                calls=2**31 - 1,
                age_ms=2**31 - 1,
            )
            for number in range(count)
        ]

    query = datagrams.messages.ChangesQuery(
        number=2**62,
        revision=2**62,
        last_revision=0,
        offset=0,
        occupancies=make_items(load_reports.MAX_REPORTED_TARGETS),
    )
    answer = datagrams.messages.ChangesAnswer(
        number=2**62,
        revision=2**62,
        age_ms=2**62,
        total=2**31 - 1,
        data=b"\xff" * view_exchange.MAX_PART_BYTES,
        occupancies=make_items(load_reports.MAX_SUMMED_TARGETS),
    )
    for message in (query, answer):
        data = datagrams.encode(message)
        assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
        assert datagrams.decode(data) == message


@pytest.mark.parametrize(
    "message",
    [
        datagrams.messages.ChangesQuery(
            number=1, revision=5, last_revision=0, offset=0
        ),
        datagrams.messages.ChangesAnswer(
            number=1, revision=7, age_ms=1, total=0, data=b""
        ),
    ],
)
def test_messages_of_the_former_version_are_understood(message):
    """They lack the field, as VMs are replaced one after the other."""
    message.occupancies = None
    found = datagrams.decode(datagrams.encode(message))
    assert found.occupancies == []
    assert found.number == 1
