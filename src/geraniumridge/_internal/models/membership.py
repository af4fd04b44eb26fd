"""Members, views and the messages of a cell.

A cell is the VMs of one failure domain that follow one leader. The
named tuples here have the same names and fields as their thrift
messages in ``network/wire.thrift``.
"""

import typing


class Member(typing.NamedTuple):
    """One running daemon; a restart gets a new incarnation."""

    name: str
    incarnation: str
    address: str


class View(typing.NamedTuple):
    """The members of a cell under one leader at one number."""

    number: int
    leader: str
    members: tuple[Member, ...]

    @property
    def epoch(self):
        """Views are ordered by number, then by leader."""
        return (self.number, self.leader)

    @property
    def names(self):
        """Names of the members."""
        return frozenset(member.name for member in self.members)

    def find_member(self, name):
        """Return the member of a name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None


class Base(typing.NamedTuple):
    """Names between which a domain's share is divided evenly."""

    number: int
    names: tuple[str, ...]


class Heartbeat(typing.NamedTuple):
    """A member's renewal, or the request to join.

    An inquiry asks for the other side's view without joining it.
    """

    sender: Member
    number: int
    leader: str
    echo: float
    leaving: bool
    base_number: int
    inquiry: bool = False


class HeartbeatAnswer(typing.NamedTuple):
    """The leader's grant; another VM's hint where the leader is.

    `counted` tells the member that the leader counts its part of the
    share, so that no earlier leader can.
    """

    granted: bool
    number: int
    leader_address: str
    resigned: bool = False
    view: View | None = None
    active: bool = False
    lease_s: float = 0.0
    share: float = 0.0
    speaks: bool = False
    stamp: float = 0.0
    bases: tuple[Base, ...] = ()
    counted: bool = False


class Claim(typing.NamedTuple):
    """A VM's claim to lead from a number on."""

    sender: Member
    number: int


class ClaimAnswer(typing.NamedTuple):
    """Acceptance drops every right of earlier views.

    `epoch_number` and `epoch_leader` name the view that was dropped,
    0 if there was none. A leaving VM accepts but is no member.
    """

    accepted: bool
    number: int
    leader_address: str
    epoch_number: int = 0
    epoch_leader: str = ""
    leaving: bool = False
    bases: tuple[Base, ...] = ()
    counted: bool = False
