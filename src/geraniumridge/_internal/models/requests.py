"""A caller's statement and its answer, inside the daemon."""

import typing

import msgspec


class StatementBody(typing.NamedTuple):
    """Body of a statement as a caller sends it.

    `max_staleness_ms` bounds the age of the data of a read;
    `repeatable` allows a write to be sent again after a lost answer.
    """

    sql: typing.Annotated[str, msgspec.Meta(min_length=1)]
    params: list[str | int | float | bool | None] = []
    mode: typing.Literal["read", "write"] = "read"
    max_staleness_ms: (
        typing.Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] | None
    ) = None
    repeatable: bool = False


class TargetAnswer(typing.TypedDict, total=False):
    """Body of a target's answer to a statement."""

    rows: list
    rowcount: int
    term: int
    position: int
    age_ms: int
    replayed: bool
    transaction: str
    error: str
    detail: str
    executed: str


class Route(typing.NamedTuple):
    """Where a request may go next."""

    target: str
    domain: str
    is_primary: bool
