"""Replacement of a primary: whom to wait for, whom to promote."""

import typing

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.models import desired

TAKEOVER_AFTER_S = 6.0
"""A replacement without progress for so long is taken over; longer
than `MAX_HOLDER_VIEW_AGE_S`, so that two holders do not act at once."""

MAX_HOLDER_VIEW_AGE_S = 2.0
"""A holder acts only while its knowledge is at most this old."""

FENCE_TIMEOUT_S = primacy.MAX_VIEW_AGE_S + primacy.SCHEDULING_MARGIN_S
"""After this long no VM can rely on what it knew before."""


class Replica(typing.NamedTuple):
    """A target of the group and its answer, None if there was none."""

    target: desired.Target
    status: desired.TargetStatus | None
    is_eligible: bool


class Fence:
    """Who may still rely on a primary that is being replaced.

    Parameters
    ----------
    group : str
        The group.
    revision : int
        Revision of its pending lead.
    marked_at : float
        Clock time, in seconds, by which the store held it, or another
        pending lead that it followed directly.
    """

    def __init__(self, group, revision, recorded_at):
        self._group = group
        self._revision = revision
        self._recorded_at = recorded_at
        self._minority_since = None

    def is_established(self, view, now):
        """Tell whether no VM can use the primary any more.

        Parameters
        ----------
        view : decisions.view.View
            A picture at least as new as the pending lead.
        now : float
            Clock time, in seconds.
        """
        if now - self._recorded_at > FENCE_TIMEOUT_S:
            return True
        unacknowledged = self.list_unacknowledged(view, now)
        if unacknowledged is None:
            return False
        if not unacknowledged:
            return True
        self._check_minority(view, unacknowledged, now)
        return self._have_confirmations_expired(now)

    def list_unacknowledged(self, view, now):
        """Return the VMs that have not released.

        Returns
        -------
        set of str or None
            None if it is not known who they are.
        """
        complete_since = view.complete_since
        if (
            complete_since is None
            or self._recorded_at - complete_since < FENCE_TIMEOUT_S
        ):
            return None
        since = self._recorded_at - FENCE_TIMEOUT_S
        departed = view.roster.list_departures(now, now - since)
        releases = view.list_releases(self._group)
        return {
            vm
            for vm in [*view.members, *departed]
            if vm not in releases or releases[vm].revision != self._revision
        }

    def _check_minority(self, view, unacknowledged, now):
        if self._minority_since is not None:
            return
        # What an awaited VM knows is at most this old.
        member_sets = view.roster.list_member_sets(now - FENCE_TIMEOUT_S)
        if member_sets is not None and support.is_minority(
            unacknowledged, member_sets
        ):
            self._minority_since = now

    def _have_confirmations_expired(self, now):
        """Tell whether the support of silent VMs has lapsed as well."""
        if self._minority_since is None:
            return False
        expired_at = max(
            self._recorded_at + primacy.MAX_UNCONFIRMED_AGE_S,
            self._minority_since + support.CONFIRMATION_VALID_S,
        )
        return now - expired_at > primacy.SCHEDULING_MARGIN_S


def find_promoted_target(lead, statuses):
    """Return the target that an earlier order has made primary.

    The replaced primary may have followed it by now and know its term,
    so only its claim to lead counts against it.

    Parameters
    ----------
    lead : fleet.Lead
        The pending lead, with the term of the replaced primary.
    found : dict
        Status by id of each target of the group, None if silent.

    Returns
    -------
    str or None
        Its id.
    """
    old = statuses.get(lead.target)
    floor = lead.term
    if old is not None and old.role is desired.Role.PRIMARY:
        floor = max(floor, old.term)
    leaders = [
        name
        for name, status in statuses.items()
        if name != lead.target
        and status is not None
        and status.role is desired.Role.PRIMARY
        and (status.term > floor or not lead.target)
    ]
    return max(leaders, key=lambda name: statuses[name].term, default=None)


def choose_successor(replicas, min_position):
    """Return the replica that provably holds every acknowledged commit.

    Parameters
    ----------
    replicas : sequence of Replica
        All targets of the group but the replaced primary, with what
        they had received after they were held.
    bound : records.Mark or None
        A position known to cover every acknowledged commit.

    Returns
    -------
    Replica or None
        None if no eligible one is proved.
    """
    known = [item for item in replicas if item.status is not None]
    eligible = [item for item in known if item.is_eligible]
    if not eligible:
        return None
    highest = max(item.status.received for item in known)
    best = max(eligible, key=lambda item: item.status.received)
    if min_position is not None and best.status.received >= min_position:
        return best
    is_complete = len(known) == len(replicas)
    if is_complete and best.status.received >= highest:
        return best
    return None
