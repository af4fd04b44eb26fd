"""Parts of counts and sums of usage that fit into one datagram each.

They are MessagePack inside the thrift messages: a map of hundreds of teams
in thrift is checked entry by entry in Python, `thrift_check`.
"""

import typing

import msgspec

from geraniumridge._internal.decisions.usage import merging
from geraniumridge._internal import exceptions

MAX_PART_BYTES = 12_000
"""Bytes of the counts in one datagram; leaves room for the other fields."""

MAX_PARTS = 256
"""Most parts of one message."""

MAX_COUNT = 10**9
"""Greatest count of a team; greater ones come from a broken sender."""

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Missing = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT * 1000)]
_Sequence = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_counts_decoder = msgspec.msgpack.Decoder(dict[str, _Count])
_runs_decoder = msgspec.msgpack.Decoder(list[tuple[str, str]])
_open_decoder = msgspec.msgpack.Decoder(
    list[tuple[str, str, _Sequence, dict[str, tuple[_Count, _Missing]]]]
)


class EncodedSums(typing.NamedTuple):
    """Fields of a message with a part of `merging.WindowSums`."""

    teams: bytes
    final_runs: bytes
    open_runs: bytes


def split_counts(counts):
    """Return a map of team to count in encoded parts, at least one."""
    return [_encode(dict(part)) for part in _split(counts.items())]


def decode_counts(data):
    """Return the map of team to count in a part.

    Raises
    ------
    exceptions.ProtocolError
        If it is malformed, or a count is negative or huge.
    """
    return _decode(_counts_decoder, data)


def split_sums(sums):
    """Return `merging.WindowSums` in encoded parts.

    Each has the fields `teams`, `final_runs` and `open_runs` of a message.
    """
    empty = EncodedSums(_encode({}), _encode([]), _encode([]))
    parts = [
        empty._replace(teams=_encode(dict(part)))
        for part in _split(sums.teams.items())
    ]
    parts += [
        empty._replace(final_runs=part) for part in split_runs(sums.final_runs)
    ]
    # A run with many teams becomes several entries.
    entries = [
        (run.vm, run.boot, item.sequence, dict(part))
        for run, item in sums.open_runs.items()
        for part in _split(
            (team, (count, min(round(missing * 1000), MAX_COUNT * 1000)))
            for team, (count, missing) in item.teams.items()
        )
    ]
    if entries:
        parts += [
            empty._replace(open_runs=_encode(part)) for part in _split(entries)
        ]
    return parts


def split_runs(runs):
    """Return runs in encoded parts, at least one."""
    return [_encode(part) for part in _split(tuple(run) for run in runs)]


def decode_runs(data):
    """Return the set of `merging.Run` in a part.

    Raises
    ------
    exceptions.ProtocolError
        If it is malformed.
    """
    return frozenset(
        merging.Run(vm, boot) for vm, boot in _decode(_runs_decoder, data)
    )


def decode_sums(teams, final_runs, open_runs):
    """Return the `merging.WindowSums` in a part.

    Raises
    ------
    exceptions.ProtocolError
        If it is malformed, or a count is negative or huge.
    """
    found = {}
    for vm, boot, sequence, counts in _decode(_open_decoder, open_runs):
        # A run with many teams has several entries.
        run = found.setdefault(
            merging.Run(vm, boot), merging.OpenRun(sequence, {})
        )
        run.teams.update(
            (team, merging.TeamCount(count, missing / 1000))
            for team, (count, missing) in counts.items()
        )
    return merging.WindowSums(
        _decode(_counts_decoder, teams), decode_runs(final_runs), found
    )


def join_sums(parts):
    """Return the `merging.WindowSums` of all parts together."""
    teams = {}
    final_runs = set()
    open_runs = {}
    for part in parts:
        teams.update(part.teams)
        final_runs |= part.final_runs
        for run, item in part.open_runs.items():
            known = open_runs.get(run, item)
            open_runs[run] = item._replace(teams={**known.teams, **item.teams})
    return merging.WindowSums(teams, frozenset(final_runs), open_runs)


def _split(items):
    parts = [[]]
    size = 0
    for item in items:
        item_bytes = len(_encode(item))
        if size + item_bytes > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return parts


def _encode(value):
    return msgspec.msgpack.encode(value)


def _decode(decoder, data):
    if isinstance(data, str):
        # thriftpy2 decodes a binary field as text where that is possible.
        data = data.encode()
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise exceptions.ProtocolError(f"usage: {error}")
