"""Terms and log positions of database groups."""

import typing


class LogPosition(typing.NamedTuple):
    """A place in a group's log; marks compare by term, then position."""

    term: int
    position: int


LOG_START = LogPosition(0, 0)


class PendingTerm(typing.NamedTuple):
    """A change of primary that has begun and is not yet in force."""

    term: int
    by: str
    id: str


class GroupTerm(typing.NamedTuple):
    """Which target is primary of a group, and since when.

    `starts` gives, for each term so far, the last position that the
    term took over from its predecessor.
    """

    term: int
    primary: str
    starts: tuple[LogPosition, ...] = ()
    pending: PendingTerm | None = None

    def is_lost(self, position):
        """Tell whether a later term began before reaching a mark."""
        return any(
            start.term > position.term and start.position < position.position
            for start in self.starts
        )


class TermsRecord(typing.NamedTuple):
    """The terms of all groups, kept under one key in the platform."""

    groups: dict[str, GroupTerm] = {}


class VmEntry(typing.NamedTuple):
    """One line of the platform's list of VMs.

    `address` is for peers, `operators` for the operators' tool.
    """

    name: str
    domain: str
    address: str
    operators: str = ""
    state: typing.Literal["live", "leaving"] = "live"
