"""Replacement of a primary: whom to wait for, whom to promote."""

import typing

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.models import desired

TAKEOVER_S = 6.0
"""A replacement without progress for so long is taken over; longer
than `HOLDER_S`, so that two holders do not act at once."""

HOLDER_S = 2.0
"""A holder acts only while its knowledge is at most this old."""

WAIT_S = primary_resolver.MAX_VIEW_AGE_S + primary_resolver.SCHEDULING_MARGIN_S
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

    def __init__(self, group, revision, marked_at):
        self._group = group
        self._revision = revision
        self._marked_at = marked_at
        self._outvoted_at = None

    def is_closed(self, view, now):
        """Tell whether no VM can use the primary any more.

        Parameters
        ----------
        view : decisions.view.View
            A picture at least as new as the pending lead.
        now : float
            Clock time, in seconds.
        """
        if now - self._marked_at > WAIT_S:
            return True
        awaited = self.list_awaited(view, now)
        if awaited is None:
            return False
        if not awaited:
            return True
        self._note_vote(view, awaited, now)
        return self._is_outvoted(now)

    def list_awaited(self, view, now):
        """Return the VMs that have not released.

        Returns
        -------
        set of str or None
            None if it is not known who they are.
        """
        whole_since = view.whole_since
        if whole_since is None or self._marked_at - whole_since < WAIT_S:
            return None
        since = self._marked_at - WAIT_S
        departed = view.roster.list_departures(now, now - since)
        releases = view.list_releases(self._group)
        return {
            vm
            for vm in [*view.members, *departed]
            if vm not in releases or releases[vm].revision != self._revision
        }

    def _note_vote(self, view, awaited, now):
        if self._outvoted_at is not None:
            return
        # What an awaited VM knows is at most this old.
        sets = view.roster.list_sets(now - WAIT_S)
        if sets is not None and quorum.is_minority(awaited, sets):
            self._outvoted_at = now

    def _is_outvoted(self, now):
        """Tell whether the support of silent VMs has lapsed as well."""
        if self._outvoted_at is None:
            return False
        lapsed_at = max(
            self._marked_at + primary_resolver.MAX_UNCONFIRMED_AGE_S,
            self._outvoted_at + quorum.CONFIRMATION_VALID_S,
        )
        return now - lapsed_at > primary_resolver.SCHEDULING_MARGIN_S


def find_leader(lead, found):
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
    old = found.get(lead.target)
    floor = lead.term
    if old is not None and old.role is desired.Role.PRIMARY:
        floor = max(floor, old.term)
    leaders = [
        name
        for name, status in found.items()
        if name != lead.target
        and status is not None
        and status.role is desired.Role.PRIMARY
        and (status.term > floor or not lead.target)
    ]
    return max(leaders, key=lambda name: found[name].term, default=None)


def choose_successor(replicas, bound):
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
    if bound is not None and best.status.received >= bound:
        return best
    is_complete = len(known) == len(replicas)
    if is_complete and best.status.received >= highest:
        return best
    return None
