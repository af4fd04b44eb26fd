"""Messages between the VMs of a cell, and requests to send them."""

import typing

from geraniumridge._internal.models import membership


class SendHeartbeat(typing.NamedTuple):
    """Request to send a heartbeat to an address and report the answer."""

    address: str
    heartbeat: membership.Heartbeat


class SendClaim(typing.NamedTuple):
    """Request to send a claim to an address and report the answer."""

    address: str
    claim: membership.Claim


def make_heartbeat(me, lease, accepted_number, is_leaving):
    """Return a member's heartbeat.

    Parameters
    ----------
    me : membership.Member
        The sender.
    lease : view_lease.ViewLease
        The sender's lease.
    accepted_number : int
        Highest view number that the sender accepted; sent without a view.
    is_leaving : bool
        Whether the sender leaves the cell.

    Returns
    -------
    membership.Heartbeat
    """
    number, leader = accepted_number, ""
    if lease.view is not None:
        number, leader = lease.epoch
    return membership.Heartbeat(
        me,
        number,
        leader,
        lease.last_leader_stamp,
        is_leaving,
        max((base.number for base in lease.bases), default=0),
    )


def make_inquiry(me, number):
    """Return a leader's heartbeat that asks for a view without joining."""
    return membership.Heartbeat(
        me, number, me.name, 0.0, False, 0, inquiry=True
    )
