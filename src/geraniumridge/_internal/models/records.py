"""Terms and log positions of database groups.

Both daemons use `LogPosition`; the other types are those of the daemon with
the HTTP interface.
"""

import typing


class LogPosition(typing.NamedTuple):
    """A position in a group's log, ordered by term, then by position."""

    term: int
    position: int


LOG_START = LogPosition(0, 0)
"""Precedes every position of a log."""


class PendingTerm(typing.NamedTuple):
    """The term of a failover in progress; `by` is the VM that runs it.

    `id` is random and tells two attempts of the same VM apart.
    """

    term: int
    by: str
    id: str


class GroupTerm(typing.NamedTuple):
    """Current term of a group and its primary.

    `starts` has an entry for each failover: the new term and the last
    position that it inherited from the term before.
    """

    term: int
    primary: str
    starts: tuple[LogPosition, ...] = ()
    pending: PendingTerm | None = None

    def is_lost(self, position):
        """Return whether a later term began before a position.

        A write at that position is then not part of the log any more.
        """
        return any(
            start.term > position.term and start.position < position.position
            for start in self.starts
        )


class TermsRecord(typing.NamedTuple):
    """The terms of all groups, stored under one key of the platform."""

    groups: dict[str, GroupTerm] = {}


class VmEntry(typing.NamedTuple):
    """Entry of a VM in the platform's list of VMs.

    `address` is the one for peers, `operators` the one for the
    operators' tool.
    """

    name: str
    domain: str
    address: str
    operators: str = ""
    state: typing.Literal["live", "leaving"] = "live"
