"""Which target is a group's primary, and whether it may be used."""

from geraniumridge._internal.models import desired

MAX_VIEW_AGE_S = 3.7
"""Age up to which the store view may be relied on to show that no
failover has begun; long enough to bridge short outages of the store.
`succession.FENCE_TIMEOUT_S` is derived from it."""

MAX_UNCONFIRMED_AGE_S = 1.3
"""Age up to which the store view is valid without confirmation by a
quorum. A read of the store, its repetition and the request of another VM
in the failure domain take less."""

SCHEDULING_MARGIN_S = 0.2
"""Added to the time after which other VMs no longer rely on their view,
for scheduling delays."""


class PrimaryResolver:
    """Resolver of a group's primary from the store view and its age.

    Parameters
    ----------
    vm : str
        Name of the own VM.
    boot : str
        Identity of this run of the daemon.
    view : decisions.view.View
        The store view.
    view_age : decisions.view_age.ViewAge
        Age of the store view.
    confirmations : decisions.quorum.QuorumConfirmations
        Confirmations of the leadership records by other VMs.
    entry_grace_s : float
        How long a primary stays in use after its entry was removed, in
        seconds; it may only have lost its connection to the store.
    """

    def __init__(self, vm, boot, view, view_age, confirmations, entry_grace_s):
        self._entry_grace_s = entry_grace_s
        self._vm = vm
        self._boot = boot
        self._view = view
        self._view_age = view_age
        self._confirmations = confirmations

    def is_self_registered(self):
        """Return whether the view has the entry of this run of the VM."""
        member = self._view.members.get(self._vm)
        return member is not None and member.boot == self._boot

    def may_use_primary(self, group, now):
        """Return whether this VM may use a group's primary now.

        It must be registered, and its store view recent or confirmed.
        """
        if not self.is_self_registered():
            return False
        if self._view.is_lead_copied(group):
            return self._may_use_former(group, now)
        age_s = self._view_age.get_age(now)
        if age_s > MAX_VIEW_AGE_S:
            return False
        return age_s <= MAX_UNCONFIRMED_AGE_S or self._is_confirmed(group, now)

    def _may_use_former(self, group, now):
        """Return whether a primary of the store's former era may be used.

        Its leadership record is as old as the newest answer of that era,
        however recent the view is.
        """
        former = self._view.get_former_lead(group)
        if former is None:
            return False
        return now - former.confirmed_at <= MAX_UNCONFIRMED_AGE_S

    def _is_confirmed(self, group, now):
        """Return whether a quorum confirms the group's leadership record."""
        voters = self._view.roster.voters
        return self._confirmations.has_majority(group, self._vm, voters, now)

    def find_primary(self, group):
        """Return the `desired.Target` that is a group's primary, or None."""
        lead = self._view.get_lead(group)
        former = self._view.get_former_lead(group)
        if former is not None:
            return self._find_target(former.lead.target)
        if lead is not None:
            if lead.is_pending:
                return None
            return self._find_target(lead.target)
        return self._find_by_role(group)

    def find_usable_primary(self, group, now):
        """Return the primary if it may be used now, or None."""
        if not self.may_use_primary(group, now):
            return None
        return self.find_primary(group)

    def _find_target(self, target_id):
        """Return a target, even if its entry was removed recently."""
        found = self._view.targets.get(target_id)
        if found is None:
            return self._view.find_recently_removed(
                target_id, self._view_age.confirmed_at, self._entry_grace_s
            )
        return found

    def _find_by_role(self, group):
        found = [
            target
            for target in self._view.list_group(group)
            if target.role is desired.Role.PRIMARY
        ]
        return found[0] if len(found) == 1 else None
