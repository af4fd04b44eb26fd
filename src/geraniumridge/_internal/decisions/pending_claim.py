"""A VM's claim to lead its cell, and what the answers to it tell."""

from geraniumridge._internal.decisions import leadership

CLAIM_TIMEOUT_HEARTBEATS = 1.0
"""Heartbeat intervals after which a claim ends with the answers received so
far; bounds the wait for VMs that don't answer."""


class PendingClaim:
    """This VM's claim to lead, while answers are outstanding.

    Parameters
    ----------
    me : membership.Member
        The VM that claims to lead.
    number : int
        Number of the claim.
    addresses : iterable of str
        Addresses that the claim is sent to.
    deadline : float
        When the claim ends without further answers, in seconds.
    """

    def __init__(self, me, number, addresses, deadline):
        self._me = me
        self._number = number
        self._deadline = deadline
        self._unanswered = set(addresses)
        self._accepted = {}
        self._is_refused = False

    @property
    def number(self):
        """Number of the claim."""
        return self._number

    @property
    def is_refused(self):
        """Whether a VM refused the claim."""
        return self._is_refused

    @property
    def is_answered(self):
        """Whether all VMs have answered."""
        return not self._unanswered

    @property
    def _supporters(self):
        """Names of this VM and of those that accepted the claim."""
        return {self._me.name, *(sender.name for sender in self._accepted)}

    def is_expired(self, now):
        """Return whether the claim ends without further answers."""
        return now >= self._deadline

    def note_answer(self, sender, answer):
        """Note a `membership.ClaimAnswer` of a `membership.Member`."""
        self._unanswered.discard(sender.address)
        if answer.accepted:
            self._accepted[sender] = answer
        else:
            self._is_refused = True

    def list_members(self):
        """Return this VM and those that accepted and are not leaving."""
        leaving_names = self._list_leaving_names()
        return [
            member
            for member in (self._me, *self._accepted)
            if member.name not in leaving_names
        ]

    def list_bases(self, lease):
        """Return all bases that this VM or one that accepted knows."""
        answers = self._accepted.values()
        return set(lease.bases).union(*(item.bases for item in answers))

    def make_prior_state(self, lease, listed):
        """Return what is known about the time before the claim.

        Parameters
        ----------
        lease : view_lease.ViewLease
            This VM's lease, as it is when the claim ends.
        listed : set of str
            Names of the domain's VMs in the platform's list.

        Returns
        -------
        leadership.PriorState
        """
        had_no_earlier_view = self._had_no_earlier_view(lease, listed)
        have_earlier_views_ended = had_no_earlier_view
        if lease.view is not None:
            have_earlier_views_ended = self._have_views_ended(lease)
        return leadership.PriorState(
            have_earlier_views_ended,
            had_no_earlier_view,
            self._list_leaving_names(),
            self._list_counted_names(lease),
        )

    def _list_leaving_names(self):
        return frozenset(
            sender.name
            for sender, answer in self._accepted.items()
            if answer.leaving
        )

    def _list_counted_names(self, lease):
        """Return the names that their last leader counted in its share."""
        names = {
            sender.name
            for sender, answer in self._accepted.items()
            if answer.counted
        }
        if lease.is_counted:
            names.add(self._me.name)
        return frozenset(names)

    def _had_no_earlier_view(self, lease, listed):
        """Return whether all listed VMs accepted and none ever had a view."""
        answers = self._accepted.values()
        return (
            lease.view is None
            and not lease.bases
            and bool(listed)
            and self._supporters >= listed
            and not any(item.bases or item.epoch_number for item in answers)
        )

    def _have_views_ended(self, lease):
        """Return whether no other VM can act under this VM's views.

        That holds if all members of the newest view and of its prior view
        accepted the claim, and none of them knew a later view.
        """
        answers = self._accepted.values()
        epochs = [(item.epoch_number, item.epoch_leader) for item in answers]
        if any(epoch > lease.epoch for epoch in epochs):
            return False
        prior_names = {lease.view.leader, *lease.view.names}
        if lease.prior_view is not None:
            prior_names |= lease.prior_view.names
        return self._supporters >= prior_names
