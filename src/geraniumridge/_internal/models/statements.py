"""Statements of a caller's session and their answers.

These are types of the proxy on the users' platform; the daemon with the
HTTP interface uses `models.requests`.
"""

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

    `text` is forwarded unchanged. `name` is the session value or the
    prepared statement that it refers to. `detail` is the value of a SET
    or the definition of a PREPARE. `is_read_only` is used for BEGIN,
    `is_write` for PREPARE.
    """

    id: str
    verb: Verb
    text: bytes
    name: str = ""
    detail: str = ""
    is_read_only: bool = False
    is_write: bool = False


class Outcome(enum.Enum):
    """Error with which a statement ended.

    After `IN_DOUBT` its effects may or may not be kept. After
    `ROLLED_BACK`, and after the outcomes in `NOT_EXECUTED`, nothing of
    the statement is kept.
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
"""Outcomes with which a target says that it did not run a statement."""


class TransactionState(enum.Enum):
    """State of a session between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Answer(typing.NamedTuple):
    """Complete answer to one statement.

    `digest` is the target's proof that the statement succeeded,
    ``None`` where the proxy answered by itself. `outcome` is ``None``
    on success. `position` is the end of the target's log.
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
