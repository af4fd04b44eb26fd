"""A member's lease in the newest view of its cell.

Each heartbeat that the leader grants renews the lease, which starts when the
heartbeat was sent and expires on the member's own clock. While a new view
waits for its acknowledgements, the prior view restricts the member as well.
"""

import math


class ViewLease:
    """What the leader granted to a member.

    `bases` are the sets of VMs between which the leader divides the domain's
    rate limits, and `is_counted` tells whether the leader counts this VM in
    its share (see `leadership`).
    """

    def __init__(self):
        self._view = None
        self._prior_view = None
        self._is_view_active = False
        self._expires_at = -math.inf
        self._dropped_at = -math.inf
        self._share = 0.0
        self._last_leader_stamp = 0.0
        self._generation = 0
        self._bases = ()
        self._is_counted = False

    @property
    def view(self):
        """The newest known view, or None."""
        return self._view

    @property
    def prior_view(self):
        """The view before the newest, while that is not active yet."""
        return self._prior_view

    @property
    def epoch(self):
        """Number and leader of the view; number 0 without a view."""
        return self._view.epoch if self._view is not None else (0, "")

    @property
    def generation(self):
        """Number that grows when other VMs may have owned this VM's keys."""
        return self._generation

    @property
    def last_leader_stamp(self):
        """The newest stamp of the leader, which heartbeats echo."""
        return self._last_leader_stamp

    @property
    def bases(self):
        """Bases that the leader announced."""
        return self._bases

    @property
    def is_counted(self):
        """Whether the leader counts this VM in its share."""
        return self._is_counted

    def set_bases(self, bases):
        """Set the bases that this VM knows from having led."""
        self._bases = bases

    def is_valid(self, now):
        """Return whether the lease has not expired."""
        return now < self._expires_at

    def may_act(self, now):
        """Return whether a valid lease belongs to a usable view."""
        has_usable_view = self._is_view_active or self._prior_view is not None
        return has_usable_view and self.is_valid(now)

    def get_share(self, now):
        """Return the share that the leader granted, 0 without a lease."""
        return self._share if self.is_valid(now) else 0.0

    def was_dropped_since(self, sent_at):
        """Return whether an answer to a heartbeat comes too late to count.

        Since the heartbeat was sent, this VM has dropped the lease that the
        answer would renew.
        """
        return sent_at <= self._dropped_at

    def adopt_view(self, now, view, is_active):
        """Switch to a view and return whether it is a new one."""
        is_new = self._view is None or view.epoch != self._view.epoch
        if is_new:
            self._replace_view(now, view)
        self._is_view_active = is_active
        if is_active:
            self._prior_view = None
        return is_new

    def _replace_view(self, now, view):
        same_leader = (
            self._view is not None and self._view.leader == view.leader
        )
        had_lease = self._is_view_active and self.is_valid(now)
        # The prior view restricts this VM until the new one is active. If it
        # had no usable view of the same leader, other VMs may have owned its
        # keys in the meantime, so the generation grows.
        if not (same_leader and (had_lease or self._prior_view is not None)):
            self._prior_view = None
            self._generation += 1
        elif self._is_view_active:
            self._prior_view = self._view
        if not same_leader:
            self._last_leader_stamp = 0.0
        self._view = view

    def renew(self, sent_at, answer):
        """Renew the lease and return whether the bases have changed.

        Parameters
        ----------
        sent_at : float
            When the granted heartbeat was sent, in seconds.
        answer : membership.HeartbeatAnswer
            The leader's answer to it.
        """
        self._expires_at = sent_at + answer.lease_s
        self._share = answer.share
        self._last_leader_stamp = max(self._last_leader_stamp, answer.stamp)
        self._is_counted = answer.counted
        have_bases_changed = self._bases != answer.bases
        self._bases = answer.bases
        return have_bases_changed

    def drop(self, now):
        """Drop the lease and the views; the bases are kept.

        Answers to heartbeats sent up to now cannot renew it any more.
        """
        self._view = None
        self._prior_view = None
        self._is_view_active = False
        self._expires_at = -math.inf
        self._dropped_at = now
        self._share = 0.0
        self._last_leader_stamp = 0.0
        self._is_counted = False
        self._generation += 1
