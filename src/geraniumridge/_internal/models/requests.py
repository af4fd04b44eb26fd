"""A caller's statement, a target's answer and a request's route.

These are types of the daemon with the HTTP interface; the proxy on the
users' platform uses `models.statements` and `models.desired`.
"""

import typing

import msgspec


class StatementBody(typing.NamedTuple):
    """Body of a statement that a caller sends.

    `max_staleness_ms` bounds the age of the data that a read returns.
    `repeatable` permits retrying a write whose answer was lost.
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
    """Target to which a request may be sent."""

    target: str
    domain: str
    is_primary: bool
