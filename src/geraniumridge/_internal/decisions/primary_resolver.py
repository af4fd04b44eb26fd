"""Which target is a group's primary, and whether it may be used."""

from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.models import desired

MAX_VIEW_AGE_S = 3.7
"""Age up to which knowledge of the store may show that no replacement
of a primary has begun. Short outages of the store fit in."""

MAX_UNCONFIRMED_AGE_S = 1.3
"""Age from which other VMs must bear the knowledge out. A reading of
the store, a repeated one and a neighbour's question fit in."""

SCHEDULING_MARGIN_S = 0.2
"""Added to waits for others' evidence, for scheduling delays."""


class PrimaryResolver:
    """Answers from the view and its age.

    Parameters
    ----------
    vm : str
        Name of the own VM.
    boot : str
        Identity of this run of the daemon.
    view : decisions.view.View
        The picture of the store.
    freshness : decisions.freshness.Freshness
        Age of the picture.
    confirmations : decisions.quorum.QuorumConfirmations
        What other VMs say of the leads.
    gone_s : float
        How long a primary is used on after its entry vanished, in
        seconds; it may only have lost the store.
    """

    def __init__(self, vm, boot, view, view_age, confirmations, entry_grace_s):
        self._entry_grace_s = entry_grace_s
        self._vm = vm
        self._boot = boot
        self._view = view
        self._view_age = view_age
        self._confirmations = confirmations

    def is_self_registered(self):
        """Tell whether this run's entry stands in the view."""
        member = self._view.members.get(self._vm)
        return member is not None and member.boot == self._boot

    def is_view_current(self, group, now):
        """Tell whether the view may be relied on for a primary."""
        if not self.is_self_registered():
            return False
        age_s = self._view_age.get_age(now)
        if age_s > MAX_VIEW_AGE_S:
            return False
        return age_s <= MAX_UNCONFIRMED_AGE_S or self._is_confirmed(group, now)

    def _is_confirmed(self, group, now):
        members = self._view.members
        if len(members) > quorum.MAX_QUORUM_MEMBERS:
            return True
        return self._confirmations.has_majority(group, self._vm, members, now)

    def find_primary(self, group):
        """Return the `desired.Target` that leads a group, or None."""
        lead = self._view.get_lead(group)
        if lead is not None:
            if lead.is_pending:
                return None
            return self._find_target(lead.target)
        return self._find_by_role(group)

    def find_usable_primary(self, group, now):
        """Return the primary if it may be used now, or None."""
        if not self.is_view_current(group, now):
            return None
        return self.find_primary(group)

    def _find_target(self, name):
        """Return a target, also one that lost its entry shortly ago."""
        found = self._view.targets.get(name)
        if found is None:
            return self._view.find_recently_removed(
                name, self._view_age.confirmed_at, self._entry_grace_s
            )
        return found

    def _find_by_role(self, group):
        found = [
            target
            for target in self._view.list_group(group)
            if target.role is desired.Role.PRIMARY
        ]
        return found[0] if len(found) == 1 else None
