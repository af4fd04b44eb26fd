"""Parts of counts and sums that fit into one datagram each."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from geraniumridge._internal.decisions.usage import merging
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import usage_parts

counts = st.integers(0, usage_parts.MAX_COUNT)
names = st.text(max_size=60)
runs = st.builds(merging.Run, names, names)
team_counts = st.dictionaries(names, counts, max_size=20)
open_run = st.builds(
    merging.OpenRun,
    st.integers(0, 2**40),
    st.dictionaries(
        names,
        st.builds(merging.TeamCount, counts, st.integers(0, 10**6).map(float)),
        max_size=20,
    ),
)
window_sums = st.builds(
    merging.WindowSums,
    team_counts,
    st.frozensets(runs, max_size=20),
    st.dictionaries(runs, open_run, max_size=5),
)


def pass_through_datagram(value):
    """Return a binary field as the receiver of a message gets it."""
    message = datagrams.messages.UsageReceipt(number=1, excluded=value)
    return datagrams.decode(datagrams.encode(message)).excluded


@given(team_counts)
def test_counts_are_unchanged(items):
    parts = usage_parts.split_counts(items)
    joined = {}
    for part in parts:
        joined.update(usage_parts.decode_counts(pass_through_datagram(part)))
    assert joined == items


@given(window_sums)
def test_sums_are_unchanged(sums):
    parts = [
        usage_parts.decode_sums(*map(pass_through_datagram, part))
        for part in usage_parts.split_sums(sums)
    ]
    assert usage_parts.join_sums(parts) == sums


def test_each_part_of_large_sums_fits_into_a_datagram():
    """2,000 teams, 600 runs, and open runs with all teams."""
    teams = {f"team-{number:012}": 10**6 for number in range(2_000)}
    open_teams = {team: merging.TeamCount(10**6, 1.5) for team in teams}
    sums = merging.WindowSums(
        teams,
        frozenset(merging.Run(f"vm-{n}", "b" * 36) for n in range(600)),
        {
            merging.Run(f"open-{n}", "b" * 36): merging.OpenRun(n, open_teams)
            for n in range(3)
        },
    )
    parts = usage_parts.split_sums(sums)
    assert len(parts) <= usage_parts.MAX_PARTS
    for part in parts:
        message = datagrams.messages.UsageSums(
            number=2**62,
            vm="v" * 60,
            boot="b" * 60,
            window=2**40,
            sequence=2**40,
            part=0,
            parts=len(parts),
            **part._asdict(),
        )
        size = len(datagrams.encode(message))
        assert size <= datagrams.MAX_DATAGRAM_BYTES
    decoded = [usage_parts.decode_sums(*part) for part in parts]
    assert usage_parts.join_sums(decoded) == sums


@pytest.mark.parametrize(
    "value",
    [{"team": -1}, {"team": 2**40}, {"team": 0.5}, {"team": "5"}, {1: 2}, [1]],
    ids=str,
)
def test_invalid_counts_are_refused(value):
    data = msgspec.msgpack.encode(value)
    with pytest.raises(exceptions.ProtocolError):
        usage_parts.decode_counts(data)


@given(st.binary(max_size=60))
def test_any_bytes_decode_or_raise_a_protocol_error(data):
    for decode in (usage_parts.decode_counts, usage_parts.decode_runs):
        try:
            decode(pass_through_datagram(data))
        except exceptions.ProtocolError:
            pass


def test_open_run_with_many_teams_loses_none():
    """Guards against counts of a run that vanish between two entries."""
    run = merging.Run("vm", "b")
    for team_count in range(400, 1_000):
        teams = {
            f"team-{number:03}": merging.TeamCount(number, 0.0)
            for number in range(team_count)
        }
        open_runs = {run: merging.OpenRun(1, teams)}
        sums = merging.WindowSums({}, frozenset(), open_runs)
        parts = [
            usage_parts.decode_sums(*part)
            for part in usage_parts.split_sums(sums)
        ]
        assert usage_parts.join_sums(parts) == sums
