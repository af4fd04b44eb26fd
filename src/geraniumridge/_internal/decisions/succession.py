"""Failover of a primary: which VMs to wait for, which target to promote."""

import typing

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records

TAKEOVER_AFTER_S = 6.0
"""Time since the last write of the leadership record after which another VM
takes over a failover in progress. Both may run it for a while; only the new
one can still send an order (see `promotion_orders`)."""

UNRECORDED_TAKEOVER_AFTER_S = 1.5
"""The same once the target that was ordered to lead says that it does: only
the record is missing, and the holder may not reach the store."""

MAX_HOLDER_VIEW_AGE_S = 2.0
"""Age of its store view up to which a VM goes on with a failover."""

FENCE_TIMEOUT_S = (
    primary_resolver.MAX_VIEW_AGE_S + primary_resolver.SCHEDULING_MARGIN_S
)
"""Time after which no VM can still rely on an earlier store view, whether
or not it has acknowledged the failover."""


class Replica(typing.NamedTuple):
    """A target of the group and its status, None if it did not answer.

    `may_be_promoted` is false of a target that is draining, evacuated or
    no longer registered; its status still counts. `may_have_lost_log` is
    whether it may have started again without its log, so that its status
    does not tell what it held before. `has_left` is whether its entry was
    removed. `covering_position` is a log position that covers every commit
    that it received before it left or started again, None if none is known.
    """

    target: desired.Target
    status: desired.TargetStatus | None
    may_be_promoted: bool
    covering_position: records.LogPosition | None = None
    may_have_lost_log: bool = False
    has_left: bool = False


class Acknowledgements:
    """Failovers that other VMs have acknowledged to this one."""

    def __init__(self):
        self._newest = {}

    def note(self, vm, group, revision, bound=None):
        """Record that a VM no longer uses a group's primary.

        `revision` is that of the failover's leadership record; those of an
        earlier failover of the group are forgotten. `bound` is the
        `fleet.CommitBound` that the VM tells, None if it tells none.
        """
        known_revision, vms = self._newest.get(group, (0, {}))
        if revision < known_revision:
            return
        if revision > known_revision:
            vms = {}
            self._newest[group] = (revision, vms)
        bounds = vms.setdefault(vm, {})
        if bound is not None:
            bounds[bound.boot] = bound

    def has(self, vm, group, revision):
        """Return whether a VM has acknowledged a failover."""
        return vm in self._get_vms(group, revision)

    def list_bounds(self, group, revision):
        """Yield the VMs that told a `fleet.CommitBound`, with the bound.

        A VM is listed for each of its runs that acknowledged the failover.
        """
        for vm, bounds in self._get_vms(group, revision).items():
            for bound in bounds.values():
                yield vm, bound

    def _get_vms(self, group, revision):
        known_revision, vms = self._newest.get(group, (0, {}))
        return vms if revision == known_revision else {}


class Fence:
    """Fence that keeps every VM from using a primary during a failover.

    Parameters
    ----------
    group : str
        The group.
    revision : int
        Revision of the leadership record of the failover in progress.
    recorded_at : float
        Clock time, in seconds, by which the store held that record, or
        the record of another failover that it directly continues.
    received : Acknowledgements
        Those that reached this VM directly; the view has others.
    """

    def __init__(self, group, revision, recorded_at, received):
        self._received = received
        self._group = group
        self._revision = revision
        self._recorded_at = recorded_at
        self._minority_since = None

    def is_established(self, view, now):
        """Return whether no VM can use the primary any more.

        Records since when the VMs without an acknowledgement are a
        minority, so it has to be called regularly.

        Parameters
        ----------
        view : decisions.view.View
            A view at least as new as the failover's leadership record.
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
        self._note_minority(view, unacknowledged, now)
        return self._have_confirmations_expired(now)

    def list_unacknowledged(self, view, now):
        """Return the VMs that have not acknowledged the failover.

        Returns
        -------
        set of str or None
            None if a departure may have been missed, so that the VMs are
            not known.
        """
        complete_since = view.complete_since
        # A VM that left before the view was complete is not known, but may
        # still run and rely on its own store view.
        if (
            complete_since is None
            or self._recorded_at - complete_since < FENCE_TIMEOUT_S
        ):
            return None
        since = self._recorded_at - FENCE_TIMEOUT_S
        departed = view.roster.list_departures(now, now - since)
        return {
            vm
            for vm in [*view.members, *departed]
            if not self._is_acknowledged_by(vm, view)
        }

    def _is_acknowledged_by(self, vm, view):
        if self._received.has(vm, self._group, self._revision):
            return True
        stored = view.list_acknowledgements(self._group).get(vm)
        return stored is not None and stored.revision == self._revision

    def _note_minority(self, view, unacknowledged, now):
        if self._minority_since is not None:
            return
        # The store view that such a VM relies on is at most this old.
        member_sets = view.roster.list_member_sets(now - FENCE_TIMEOUT_S)
        if member_sets is not None and quorum.lacks_majority(
            unacknowledged, member_sets
        ):
            self._minority_since = now

    def _have_confirmations_expired(self, now):
        """Return whether the silent VMs' confirmations have expired.

        Without confirmations they rely on a view from before the failover
        for `MAX_UNCONFIRMED_AGE_S`. A member that has acknowledged late may
        have confirmed the earlier record until then.
        """
        if self._minority_since is None:
            return False
        expired_at = max(
            self._recorded_at + primary_resolver.MAX_UNCONFIRMED_AGE_S,
            self._minority_since + quorum.CONFIRMATION_VALID_S,
        )
        return now - expired_at > primary_resolver.SCHEDULING_MARGIN_S


def find_promoted_target(lead, statuses):
    """Return the target that an earlier attempt has promoted.

    The old primary may already replicate from the new one and report the
    new term, so its own term counts only while its role is primary. If the
    record names no old primary, one of the record's term counts too.

    Parameters
    ----------
    lead : fleet.Lead
        Leadership record of the failover, with the old primary's term.
    statuses : dict
        Status by id of each target of the group, None if silent.

    Returns
    -------
    str or None
        Id of the target.
    """
    old = statuses.get(lead.target)
    min_term = lead.term
    if old is not None and old.role is desired.Role.PRIMARY:
        min_term = max(min_term, old.term)
    candidates = [
        target_id
        for target_id, status in statuses.items()
        if target_id != lead.target
        and status is not None
        and status.role is desired.Role.PRIMARY
        and (
            status.term > min_term
            or (not lead.target and status.term == min_term)
        )
    ]
    return max(
        candidates,
        key=lambda target_id: statuses[target_id].term,
        default=None,
    )


def may_be_promoted(target, evacuated):
    """Return whether a registered target is to stay in use.

    Parameters
    ----------
    target : desired.Target
        The target.
    evacuated : collection of str
        Failure domains that operators have evacuated.
    """
    return not target.is_draining and target.domain not in evacuated


def has_successor(targets, primary, evacuated):
    """Return whether another target than a primary is to stay in use.

    Parameters
    ----------
    targets : iterable of desired.Target
        The registered targets of the group.
    primary : str
        Id of the primary.
    evacuated : collection of str
        Failure domains that operators have evacuated.
    """
    return any(
        target.id != primary and may_be_promoted(target, evacuated)
        for target in targets
    )


def find_proved_primary(statuses):
    """Return the primary that all targets of a group agree on.

    No other target can have been promoted since: it would tell a newer term.
    Nor is an order to promote one in progress, as that begins with replicas
    that are paused for the next term.

    Parameters
    ----------
    statuses : dict
        Status by id of each registered target of the group, None if silent.

    Returns
    -------
    str or None
        Id of the target; None if they do not agree or one is silent.
    """
    if None in statuses.values():
        return None
    primaries = [
        target_id
        for target_id, status in statuses.items()
        if status.role is desired.Role.PRIMARY
    ]
    if len(primaries) != 1:
        return None
    term = statuses[primaries[0]].term
    is_newest = all(
        status.term <= term and status.paused_term <= term
        for status in statuses.values()
    )
    return primaries[0] if is_newest else None


def choose_successor(replicas, min_position, known_position=records.LOG_START):
    """Return the replica that is certain to hold every acknowledged commit.

    Parameters
    ----------
    replicas : sequence of Replica
        All targets of the group except the old primary, with the status
        that each reported after it stopped replicating.
    min_position : records.LogPosition or None
        A position known to cover every acknowledged commit.
    known_position : records.LogPosition
        The highest position that any replica has reported during the
        failover, also one that has fallen silent since, or that a VM has
        passed on.

    Returns
    -------
    Replica or None
        None if no replica that may be promoted is certain to hold them.
    """
    promotable = [
        item
        for item in replicas
        if item.status is not None and item.may_be_promoted
    ]
    if not promotable:
        return None
    best = max(promotable, key=lambda item: item.status.received)
    received = best.status.received
    if min_position is not None and received >= min_position:
        return best
    # The newest acknowledged commit may be at a single replica, so the
    # successor has to hold what each of them may have received.
    bounds = [find_bound(item) for item in replicas]
    if None in bounds or received < max(known_position, *bounds):
        return None
    return best


def find_bound(replica):
    """Return a position up to which a replica may hold commits, or None.

    Its earlier runs count, too. A replica that is registered and silent has
    no bound: whatever is known of the time before, it may have gone on
    receiving commits.
    """
    if replica.status is None:
        return replica.covering_position if replica.has_left else None
    received = replica.status.received
    if not replica.may_have_lost_log:
        return received
    if replica.covering_position is None:
        return None
    return max(received, replica.covering_position)
