"""Statements of a caller's session and their answers."""

import enum
import typing

from geraniumridge._internal.models import records


class Verb(enum.Enum):
    """Kinds of statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Statement(typing.NamedTuple):
    """One statement of a caller.

    `text` is forwarded unchanged; `name` is the value or prepared name
    it concerns; `detail` is the value of a SET and the definition of a
    PREPARE; `is_read_only` belongs to BEGIN, `is_write` to PREPARE.
    """

    id: str
    verb: Verb
    text: bytes
    name: str = ""
    detail: str = ""
    is_read_only: bool = False
    is_write: bool = False


class Outcome(enum.Enum):
    """How a statement ended, other than by success.

    Those of `NOT_KEPT` promise that nothing of the attempt is kept.
    """

    OVERLOADED = "overloaded"
    ROLLED_BACK = "rolled back"
    BEHIND = "behind"
    NOT_PRIMARY = "not primary"
    WRONG_TARGET = "wrong target"
    TOO_MANY_CONNECTIONS = "too many connections"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    UNKNOWN_STATEMENT = "unknown statement"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_DATABASE = "unknown database"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"
    IN_DOUBT = "in doubt"


NOT_EXECUTED = frozenset(
    {
        Outcome.OVERLOADED,
        Outcome.BEHIND,
        Outcome.NOT_PRIMARY,
        Outcome.UNKNOWN_STATEMENT,
    }
)
"""Answers of a target that mean that it did not run the statement."""


class TransactionState(enum.Enum):
    """State of a session between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Answer(typing.NamedTuple):
    """Whole answer to one statement.

    `digest` is the target's proof of a success, ``None`` where the
    proxy answered itself; `outcome` is ``None`` on success; `position`
    is the head of the target's log.
    """

    rows: tuple[bytes, ...] = ()
    digest: bytes | None = None
    outcome: Outcome | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: records.LogPosition | None = None

    @property
    def is_success(self):
        """Whether the statement succeeded."""
        return self.outcome is None
