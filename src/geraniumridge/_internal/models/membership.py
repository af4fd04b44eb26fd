"""Membership of a cell: members, views and messages.

A cell is the group of VMs in one failure domain that follow one leader.
The named tuples have the names and fields of their thrift messages in
``network/wire.thrift``. They are those of the daemon with the HTTP
interface; the proxy on the users' platform uses `models.fleet`.
"""

import typing


class Member(typing.NamedTuple):
    """One running daemon; each start has a new incarnation."""

    name: str
    incarnation: str
    address: str


class View(typing.NamedTuple):
    """The members of a cell at one view number of one leader."""

    number: int
    leader: str
    members: tuple[Member, ...]

    @property
    def epoch(self):
        """Number and leader, by which views are ordered."""
        return (self.number, self.leader)

    @property
    def names(self):
        """Names of the members."""
        return frozenset(member.name for member in self.members)

    def find_member(self, name):
        """Return the member with a name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None


class Base(typing.NamedTuple):
    """VMs between which the rate limits of their domain are split evenly."""

    number: int
    names: tuple[str, ...]


class Heartbeat(typing.NamedTuple):
    """A member's lease renewal, or its request to join a cell.

    `echo` is the newest `stamp` that the leader sent. `base_number` is
    the newest base that the member knows. An `inquiry` asks for the
    receiver's view without joining it.
    """

    sender: Member
    number: int
    leader: str
    echo: float
    leaving: bool
    base_number: int
    inquiry: bool = False


class HeartbeatAnswer(typing.NamedTuple):
    """Answer to a heartbeat: a lease, or the address of the leader.

    `speaks` tells whether the leader leads its domain's majority, that
    is, most of the domain's VMs follow it; it may then give promises for
    the domain. `stamp` is the leader's
    time of the answer. With `counted`, the leader counts the member in
    its cell's share, so that no earlier leader does.
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
    """A VM's claim to lead the cell from a view number on."""

    sender: Member
    number: int


class ClaimAnswer(typing.NamedTuple):
    """Answer to a claim; accepting it ends the lease in earlier views.

    `epoch_number` and `epoch_leader` identify the view that was
    dropped, number 0 if there was none. A VM that is leaving accepts
    but does not become a member.
    """

    accepted: bool
    number: int
    leader_address: str
    epoch_number: int = 0
    epoch_leader: str = ""
    leaving: bool = False
    bases: tuple[Base, ...] = ()
    counted: bool = False
