"""Which replicas may have lost the log that they held before a failover.

A target that starts again under its id holds nothing of what it had
received. Its status then does not tell which commits it had acknowledged.
"""

REGISTRATION_WAIT_S = 5.0
"""How long a replica whose log is empty counts as started again although the
view does not show that. It registers within a heartbeat, and the view follows
the store."""


class LostLogs:
    """Replicas that may have lost their log, as one failover sees them."""

    def __init__(self):
        self._empty_since = {}

    def get_loss_time(self, target_id, view):
        """Return the clock time at which a target's log was seen to be gone.

        That is when its entry was removed or showed that it had started
        again.

        Parameters
        ----------
        target_id : str
            The target.
        view : decisions.view.View
            The store view.

        Returns
        -------
        float or None
            In seconds; None if neither is known.
        """
        restart = view.get_restart(target_id)
        times = [
            view.get_removal_time(target_id),
            restart.seen_at if restart else None,
            self._empty_since.get(target_id),
        ]
        return max((item for item in times if item is not None), default=None)

    def find_covering(self, target_id, view, positions, told):
        """Return a position that covers what a target held before its loss.

        Every commit acknowledged before that is covered by an answer of the
        primary to a statement sent after it, of this VM or of one that has
        told its commits. A target that has left may only have lost the store,
        so the newest answer counts, which covers the most.

        Parameters
        ----------
        target_id : str
            The target.
        view : decisions.view.View
            The store view.
        positions : decisions.position_history.PositionHistory
            Positions of the primary that this VM knows.
        told : decisions.acknowledged_commits.ToldBounds
            What the VMs have told of the commits that they passed on.

        Returns
        -------
        records.LogPosition or None
            The least that is known, or the newest of a target that has left;
            None if none is known, or without a loss.
        """
        since = self.get_loss_time(target_id, view)
        if since is None:
            return None
        if target_id not in view.targets:
            return positions.find_newest_since(since)
        found = [positions.find_covering(since)]
        restart = view.get_restart(target_id)
        # A later loss, of which the store has no revision yet, isn't covered.
        if restart is not None and restart.seen_at == since:
            found.append(told.find_covering(restart.revision))
        return min((item for item in found if item is not None), default=None)

    def may_be_lost(
        self, target_id, status, reported_position, view, now, is_old_awaited
    ):
        """Return whether a replica may have lost a log that it had.

        Parameters
        ----------
        target_id : str
            The replica.
        status : desired.TargetStatus or None
            Its status, None if it did not answer.
        reported_position : records.LogPosition
            The highest position that any replica has reported.
        view : decisions.view.View
            The store view.
        now : float
            Clock time, in seconds.
        is_old_awaited : bool
            Whether the old primary may still return with its log.

        Returns
        -------
        bool
            For a replica that is known to have started again, it does not
            depend on the time since: copying a log may take any time.
        """
        if view.get_restart(target_id) is not None:
            return is_old_awaited
        if status is None:
            return False
        if status.received.position:
            self._empty_since.pop(target_id, None)
            return False
        since = self._empty_since.setdefault(target_id, now)
        has_commits = reported_position.position > 0
        return has_commits and now - since <= REGISTRATION_WAIT_S
