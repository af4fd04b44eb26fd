"""Quorum confirmation that the leadership records of a VM are current.

A VM without recent answers of the store relies on a primary only while
more than half of the voters tell it that they have not seen a newer
leadership record. The voters are all members or, in a large fleet, some of
them, which each VM that knows the same members chooses alike. The VM that
runs a failover needs acknowledgements from so many voters that the silent
ones are no majority; it then waits until the confirmations expire, not until
the silent VMs' store views do.
"""

import heapq
import typing

from geraniumridge._internal.utils import rendezvous

CONFIRMATION_VALID_S = 0.8
"""How long a confirmation is valid, from the time of its request. Two
requests, sent at the interval of `proxy.quorum_exchange`, and their
answers take less."""

MAX_VOTERS = 31
"""Most members that confirm leadership records. It bounds the requests of a
large fleet, and as an odd number it has no ties."""

VOTERS_KEY = "voters"
"""Key by whose weights the voters are chosen."""


class Confirmation(typing.NamedTuple):
    """A member's answer to a request for confirmation.

    `requested_at` is the clock time of the request, in seconds; `newer` holds
    the groups whose leadership records have changed since the requester's
    revision, None if there are too many to name.
    """

    requested_at: float
    newer: frozenset | None


class QuorumConfirmations:
    """The newest confirmation of each member."""

    def __init__(self):
        self._confirmations = {}

    def add(self, vm, confirmation):
        """Add a member's confirmation unless a newer one is known."""
        known = self._confirmations.get(vm)
        if known is None or known.requested_at < confirmation.requested_at:
            self._confirmations[vm] = confirmation

    def has_majority(self, group, own, voters, now):
        """Return whether a majority confirms a leadership record.

        Parameters
        ----------
        group : str
            The group whose leadership record is to be confirmed.
        own : str
            Name of this VM, which confirms its own record if it is a voter.
        voters : collection of str
            Names of the voters among the members that this VM knows.
        now : float
            Clock time, in seconds.
        """
        count = sum(
            vm == own or self._is_confirmed_by(vm, group, now) for vm in voters
        )
        return 2 * count > len(voters)

    def _is_confirmed_by(self, vm, group, now):
        confirmation = self._confirmations.get(vm)
        if confirmation is None or confirmation.newer is None:
            return False
        is_recent = now - confirmation.requested_at <= CONFIRMATION_VALID_S
        return is_recent and group not in confirmation.newer


def choose_voters(members):
    """Return the members that confirm leadership records.

    Parameters
    ----------
    members : collection of str
        Names of the members.

    Returns
    -------
    frozenset of str
        All members, at most `MAX_VOTERS` of them. A member that leaves or
        joins changes at most one of them.
    """
    if len(members) <= MAX_VOTERS:
        return frozenset(members)
    return frozenset(
        heapq.nlargest(
            MAX_VOTERS, members, key=rendezvous.make_sort_key(VOTERS_KEY)
        )
    )


def lacks_majority(unacknowledged, member_sets):
    """Return whether the VMs are at most half of the voters of each set.

    VMs without an acknowledgement cannot confirm an earlier leadership
    record by a majority then.

    Parameters
    ----------
    unacknowledged : set of str
        VMs that have not acknowledged the failover.
    member_sets : iterable of frozenset of str
        Each set of members that one of these VMs may know.
    """
    return all(
        2 * len(unacknowledged & voters) <= len(voters)
        for voters in map(choose_voters, member_sets)
    )
