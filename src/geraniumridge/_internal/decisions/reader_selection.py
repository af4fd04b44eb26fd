"""Choice of the VM that reads the store for its failure domain.

The reader is the alphabetically first VM of the domain that is not
avoided. Load pattern: the store turns a part of the VMs away, or a network
partition leaves each VM with some of its neighbours. A VM that found no useful
reader stays with the neighbour that it has found instead, and tries others
less and less often.
"""

import random

AVOID_SILENT_S = 2.0
"""How long a VM that gave no answer is not queried again. Each further
failure in a row doubles it."""

AVOID_OUTDATED_S = 0.5
"""The same for a VM that answered with a view that is too old."""

MAX_AVOID_S = 8.0
"""Longest such time."""

ORDERED_ATTEMPTS = 2
"""Attempts in alphabetical order after which neighbours are tried at random,
so that not all VMs try the same ones."""


class ReaderSelector:
    """Selector of the member that one VM queries instead of the store.

    Parameters
    ----------
    vm : str
        Name of the VM.
    domain : str
        Its failure domain.
    """

    def __init__(self, vm, domain):
        self._vm = vm
        self._domain = domain
        self._avoided_until = {}
        self._failures = {}
        self._useful = None
        self._attempts = 0

    @property
    def has_many_failures(self):
        """Whether a useful VM has been sought for several attempts."""
        return self._attempts > ORDERED_ATTEMPTS

    def find_reader(self, members, now):
        """Return the member to query, or None if this VM reads the store.

        Parameters
        ----------
        members : dict
            Live `fleet.Member` by VM.
        now : float
            Clock time, in seconds.
        """
        candidates = [
            vm
            for vm, member in members.items()
            if member.domain == self._domain and not self._is_avoided(vm, now)
        ]
        chosen = self._choose(candidates)
        return None if chosen == self._vm else members[chosen]

    def avoid(self, vm, now, first_s=AVOID_SILENT_S):
        """Skip a VM, which may be this one, for a while.

        Parameters
        ----------
        vm : str
            The VM.
        now : float
            Clock time, in seconds.
        first_s : float, optional
            How long after its first failure in a row, in seconds.
        """
        failures = self._failures.get(vm, 0)
        self._failures[vm] = failures + 1
        avoid_s = min(MAX_AVOID_S, first_s * 2**failures)
        self._avoided_until[vm] = now + avoid_s
        self._attempts += 1
        if vm == self._useful:
            self._useful = None

    def note_useful(self, vm):
        """Record a VM, which may be this one, that gave a useful answer."""
        self._useful = vm
        self._attempts = 0
        self._failures.pop(vm, None)
        self._avoided_until.pop(vm, None)

    def prefer(self, vm):
        """Query a VM next that has told of a change."""
        self._useful = vm
        self._attempts = max(1, self._attempts)
        self._avoided_until.pop(vm, None)

    def _choose(self, candidates):
        if not candidates:
            return self._vm
        if self._attempts == 0:
            return min(candidates)
        if self._useful in candidates:
            return self._useful
        if self._attempts <= ORDERED_ATTEMPTS:
            return min(candidates)
        return random.choice(candidates)

    def _is_avoided(self, vm, now):
        return now < self._avoided_until.get(vm, now)
