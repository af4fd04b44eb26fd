"""Choice of the VM that reads the store for its failure domain.

The reader is the alphabetically first VM of the domain that is not
avoided.
"""

AVOID_AFTER_FAILURE_S = 2.0
"""How long a VM that gave no useful answer is not queried again."""


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
        self._avoided = {}

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
        first = min(candidates, default=self._vm)
        return None if first == self._vm else members[first]

    def avoid(self, vm, now):
        """Skip a VM, which may be this one, for a while."""
        self._avoided[vm] = now

    def clear_avoided(self):
        """Consider every VM again."""
        self._avoided.clear()

    def _is_avoided(self, vm, now):
        avoided_at = self._avoided.get(vm)
        return (
            avoided_at is not None and now - avoided_at < AVOID_AFTER_FAILURE_S
        )
