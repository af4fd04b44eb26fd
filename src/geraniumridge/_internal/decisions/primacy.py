"""Which target is a group's primary, and whether it may be used."""

from geraniumridge._internal.models import desired

EVIDENCE_S = 4.5
"""Age up to which knowledge of the store shows that no replacement of
a primary has begun; whoever replaces one waits this long for silent
VMs. Short outages of the store fit in."""

CLOCK_MARGIN_S = 0.2
"""Added to waits for others' evidence, for scheduling delays."""


class Primacy:
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
    gone_s : float
        How long a primary is used on after its entry vanished, in
        seconds; it may only have lost the store.
    """

    def __init__(self, vm, boot, view, freshness, gone_s):
        self._gone_s = gone_s
        self._vm = vm
        self._boot = boot
        self._view = view
        self._freshness = freshness

    def is_member(self):
        """Tell whether this run's entry stands in the view."""
        member = self._view.members.get(self._vm)
        return member is not None and member.boot == self._boot

    def has_evidence(self, now):
        """Tell whether the view may be relied on for primaries."""
        if not self.is_member():
            return False
        return self._freshness.is_within(now, EVIDENCE_S)

    def find_primary(self, group):
        """Return the `desired.Target` that leads a group, or None."""
        lead = self._view.get_lead(group)
        if lead is not None:
            if lead.is_pending:
                return None
            return self._find_target(lead.target)
        return self._find_by_role(group)

    def find_usable(self, group, now):
        """Return the primary if it may be used now, or None."""
        if not self.has_evidence(now):
            return None
        return self.find_primary(group)

    def _find_target(self, name):
        """Return a target, also one that lost its entry shortly ago."""
        found = self._view.targets.get(name)
        if found is None:
            return self._view.find_gone(
                name, self._freshness.proved_at, self._gone_s
            )
        return found

    def _find_by_role(self, group):
        found = [
            target
            for target in self._view.list_group(group)
            if target.role is desired.Role.PRIMARY
        ]
        return found[0] if len(found) == 1 else None
