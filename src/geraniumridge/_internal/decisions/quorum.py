"""Whether the other VMs still bear out what this one knows of leads.

A VM that has not heard from the store for a while relies on a primary
only while more than half of the members tell it that they have not
seen a newer lead. Whoever replaces a primary needs the releases of so
many members that the silent ones are no majority; it then waits for
the answers to lapse, not for the knowledge of the store.
"""

import typing

CONFIRMATION_VALID_S = 0.8
"""Age, from the question, up to which an answer counts; two questions
and their answers fit in."""

MAX_QUORUM_MEMBERS = 64
"""In a larger fleet VMs do not ask each other, since questions grow
with its square; replacements wait for the knowledge to lapse."""


class Confirmation(typing.NamedTuple):
    """A member's answer.

    `asked_at` is the clock time of the question, in seconds; `newer`
    holds the groups whose leads have changed since the asker's
    revision, None if there are too many to name.
    """

    asked_at: float
    newer: frozenset | None


class QuorumConfirmations:
    """The newest answer of each member."""

    def __init__(self):
        self._confirmations = {}

    def add(self, vm, confirmation):
        """Take in an answer; older ones are ignored."""
        known = self._confirmations.get(vm)
        if known is None or known.asked_at < confirmation.asked_at:
            self._confirmations[vm] = confirmation

    def has_majority(self, group, own, members, now):
        """Tell whether more than half of the members bear a lead out.

        Parameters
        ----------
        group : str
            The group whose lead is relied on.
        own : str
            Name of the own VM, which counts as one of them.
        members : collection of str
            Names of the members that this VM knows.
        now : float
            Clock time, in seconds.
        """
        count = sum(
            vm == own or self._is_confirmed_by(vm, group, now)
            for vm in members
        )
        return 2 * count > len(members)

    def _is_confirmed_by(self, vm, group, now):
        confirmation = self._confirmations.get(vm)
        if confirmation is None or confirmation.newer is None:
            return False
        is_recent = now - confirmation.asked_at <= CONFIRMATION_VALID_S
        return is_recent and group not in confirmation.newer


def is_minority(unacknowledged, member_sets):
    """Tell whether VMs that have not released can be no majority.

    Parameters
    ----------
    awaited : set of str
        VMs that have not released.
    sets : iterable of frozenset of str
        Each set of members that one of them may know.

    Returns
    -------
    bool
        False in a fleet too large for questions.
    """
    return all(
        len(members) <= MAX_QUORUM_MEMBERS
        and 2 * len(unacknowledged & members) <= len(members)
        for members in member_sets
    )
