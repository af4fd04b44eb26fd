"""Whether the other VMs still bear out what this one knows of leads.

A VM that has not heard from the store for a while relies on a primary
only while more than half of the members tell it that they have not
seen a newer lead. Whoever replaces a primary needs the releases of so
many members that the silent ones are no majority; it then waits for
the answers to lapse, not for the knowledge of the store.
"""

import typing

SUPPORT_S = 0.8
"""Age, from the question, up to which an answer counts; two questions
and their answers fit in."""

MAX_MEMBERS = 64
"""In a larger fleet VMs do not ask each other, since questions grow
with its square; replacements wait for the knowledge to lapse."""


class Standing(typing.NamedTuple):
    """A member's answer.

    `asked_at` is the clock time of the question, in seconds; `newer`
    holds the groups whose leads have changed since the asker's
    revision, None if there are too many to name.
    """

    asked_at: float
    newer: frozenset | None


class Support:
    """The newest answer of each member."""

    def __init__(self):
        self._standings = {}

    def take(self, vm, standing):
        """Take in an answer; older ones are ignored."""
        known = self._standings.get(vm)
        if known is None or known.asked_at < standing.asked_at:
            self._standings[vm] = standing

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
            vm == own or self._bears_out(vm, group, now) for vm in members
        )
        return 2 * count > len(members)

    def _bears_out(self, vm, group, now):
        standing = self._standings.get(vm)
        if standing is None or standing.newer is None:
            return False
        is_young = now - standing.asked_at <= SUPPORT_S
        return is_young and group not in standing.newer


def is_outvoted(awaited, sets):
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
        len(members) <= MAX_MEMBERS
        and 2 * len(awaited & members) <= len(members)
        for members in sets
    )
