"""Quorum confirmation that the leadership records of a VM are current.

A VM without recent answers of the store relies on a primary only while
more than half of the members tell it that they have not seen a newer
leadership record. In a fleet larger than `MAX_QUORUM_MEMBERS` it needs no
confirmation. The VM that runs a failover needs acknowledgements from
so many members that the silent ones are no majority; it then waits until
the confirmations expire, not until the silent VMs' store views do.
"""

import typing

CONFIRMATION_VALID_S = 0.8
"""How long a confirmation is valid, from the time of its request. Two
requests, sent at the interval of `proxy.quorum_exchange`, and their
answers take less."""

MAX_QUORUM_MEMBERS = 64
"""Largest fleet in which VMs ask each other, as the number of requests
grows with its square. In a larger one failovers wait until the store
views expire."""


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

    def has_majority(self, group, own, members, now):
        """Return whether a majority confirms a leadership record.

        Parameters
        ----------
        group : str
            The group whose leadership record is to be confirmed.
        own : str
            Name of this VM, which counts as one of the majority.
        members : collection of str
            Names of the members that this VM knows.
        now : float
            Clock time, in seconds.
        """
        count = sum(
            vm == own or self._is_confirmed_by(vm, group, now)
            for vm in members
        )
        return 2 * count > len(members)

    def _is_confirmed_by(self, vm, group, now):
        confirmation = self._confirmations.get(vm)
        if confirmation is None or confirmation.newer is None:
            return False
        is_recent = now - confirmation.requested_at <= CONFIRMATION_VALID_S
        return is_recent and group not in confirmation.newer


def lacks_majority(unacknowledged, member_sets):
    """Return whether the VMs are no majority of any member set.

    They cannot confirm an earlier leadership record then: that takes more
    than half of the members.

    Parameters
    ----------
    unacknowledged : set of str
        VMs that have not acknowledged the failover.
    member_sets : iterable of frozenset of str
        Each set of members that one of these VMs may know.

    Returns
    -------
    bool
        True also for exactly half of the members; False in a fleet larger
        than `MAX_QUORUM_MEMBERS`.
    """
    return all(
        len(members) <= MAX_QUORUM_MEMBERS
        and 2 * len(unacknowledged & members) <= len(members)
        for members in member_sets
    )
