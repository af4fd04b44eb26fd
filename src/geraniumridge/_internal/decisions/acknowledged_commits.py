"""Which commits callers have been told of, by what the VMs tell.

Every acknowledgement of a commit passes through a VM. Once the VMs no longer
use a primary, each tells a position of its log that covers the commits that
it passed on itself. A run of the daemon that has ended tells nothing; its
commits are covered by any commit that was sent `succession.FENCE_TIMEOUT_S`
after its end was seen: its registration may have ended before it, but it
cannot use the primary for longer than that.
``docs/design/promotion-proof.md`` has the argument.
"""

import typing

from geraniumridge._internal.decisions import succession
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import records


class AcknowledgedCommits:
    """Bound on the commits of one group that this VM passed on."""

    def __init__(self):
        self._position = records.LOG_START
        self._covered_end = 0
        self._sent_revision = 0
        self._is_known = True

    def note_commit(self, log_position, sent_at, sent_revision, run_end):
        """Note a commit that the primary has acknowledged.

        Parameters
        ----------
        log_position : records.LogPosition or None
            End of the primary's log, None if it told none.
        sent_at : float
            Clock time, in seconds, at which the statement was sent.
        sent_revision : int
            Revision of the store that the view had reached by then.
        run_end : decisions.view.RunEnd or None
            The newest end of a run that the view shows, None without a
            view.
        """
        if log_position is None:
            self._is_known = False
            return
        self._position = max(self._position, log_position)
        self._sent_revision = max(self._sent_revision, sent_revision)
        if run_end is None:
            return
        if sent_at >= run_end.seen_at + succession.FENCE_TIMEOUT_S:
            self._covered_end = run_end.revision

    def make_bound(self, boot, view):
        """Return the `fleet.CommitBound` of this run, None if unknown.

        Parameters
        ----------
        boot : str
            Identity of this run of the daemon.
        view : decisions.view.View
            The store view. It shows no end of a run later than the newest
            one, so what covers that covers all up to the view's revision.
        """
        if not self._is_known or max(self._position) > fleet.MAX_COUNT:
            return None
        run_end = view.last_run_end
        is_covered = (
            run_end is not None and run_end.revision <= self._covered_end
        )
        covered_revision = view.revision if is_covered else 0
        return fleet.CommitBound(
            boot, *self._position, covered_revision, self._sent_revision
        )


class ToldBounds(typing.NamedTuple):
    """What the VMs have told of the commits that they passed on.

    VMs that have left since are among them. `position` is the highest of the
    `bounds`. It covers all commits unless VMs are `untold`, which have told
    none, or runs that ended are not covered.
    """

    bounds: tuple[fleet.CommitBound, ...]
    position: records.LogPosition
    untold: tuple[str, ...]
    is_covered: bool

    @property
    def is_complete(self):
        """Whether `position` covers every commit that was passed on."""
        return self.is_covered and not self.untold

    def find_covering(self, revision):
        """Return the least position of a commit sent after a revision.

        It covers all commits that were acknowledged before the store had
        reached the revision. None if no VM has told one.
        """
        return min(
            (
                item.log_position
                for item in self.bounds
                if item.sent_revision >= revision
            ),
            default=None,
        )


def combine_bounds(view, received, group, revision):
    """Return the `ToldBounds` of all VMs for a failover.

    Parameters
    ----------
    view : decisions.view.View
        A view at least as new as the failover's leadership record, with the
        acknowledgements in the store.
    received : succession.Acknowledgements
        Those that reached this VM directly.
    group : str
        The group.
    revision : int
        Revision of the failover's leadership record.
    """
    told_by = [
        *received.list_bounds(group, revision),
        *_list_stored_bounds(view, group, revision),
    ]
    told = tuple(bound for _, bound in told_by)
    told_runs = {(vm, bound.boot) for vm, bound in told_by}
    untold = (
        vm
        for vm, member in view.members.items()
        if (vm, member.boot) not in told_runs
    )
    run_end = view.last_run_end
    return ToldBounds(
        told,
        max((item.log_position for item in told), default=records.LOG_START),
        tuple(sorted(untold)),
        run_end is not None
        and any(item.covered_revision >= run_end.revision for item in told),
    )


def _list_stored_bounds(view, group, revision):
    """Yield the VMs that told a bound through the store, with the bound."""
    for vm, stored in view.list_acknowledgements(group).items():
        if stored.revision == revision and stored.bound is not None:
            yield vm, stored.bound


def find_covering(old_position, told):
    """Return a position that covers every acknowledged commit.

    Parameters
    ----------
    old_position : records.LogPosition or None
        End of the log of the old primary, which still leads; None if it does
        not answer.
    told : ToldBounds
        What the VMs have told.

    Returns
    -------
    records.LogPosition or None
        The lowest that is known, None if none is.
    """
    if not told.is_complete:
        return old_position
    if old_position is None:
        return told.position
    return min(old_position, told.position)
