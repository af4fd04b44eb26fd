"""A VM's share of the connections that a target allows to all VMs.

What all VMs keep open after use adds up to a part of the limit. If that part
is smaller than the number of VMs, only some VMs keep a connection; which
ones differs from target to target.
"""

import math
import typing
import zlib

KEEP_OPEN_SHARE = 0.5
"""Share of a target's limit that all VMs together keep open after use.
Connections beyond it are closed when they are released. The rest is for
statements in progress and for connections of failed VMs, which a target
counts until it notices."""

EXTRA_CONNECTIONS = 1
"""Connections that a VM may open beyond its equal share of a target's
limit; the target refuses what exceeds the limit in total."""


FULL_TARGET_S = 0.5
"""Time after a refusal at its limit for which a target counts as full."""


class MemberIndex(typing.NamedTuple):
    """Index of a VM in the sorted names of all members."""

    index: int
    member_count: int


class PoolLimits(typing.NamedTuple):
    """Limits on one VM's connections to one target.

    `max_open` bounds all of them, `max_kept_open` those that stay open
    while no statement uses them.
    """

    max_open: int
    max_kept_open: int


class FullTarget:
    """Limit on a VM's connections to a target that has refused one.

    Load pattern: all VMs lose power and return, while the target still
    counts the connections of their former processes. As long as it refuses
    further connections, a VM replaces its idle ones, which are of other
    teams, instead of adding to them.
    """

    def __init__(self):
        self._max_open = 0
        self._ends_at = -math.inf

    def note_refused(self, open_count, now):
        """Record that the target refused a connection at its limit.

        Parameters
        ----------
        open_count : int
            Connections that this VM has open to it.
        now : float
            Clock time, in seconds.
        """
        self._max_open = max(1, open_count)
        self._ends_at = now + FULL_TARGET_S

    def get_max_open(self, max_open, now):
        """Return how many connections may be open, at most `max_open`."""
        if now >= self._ends_at:
            return max_open
        return min(max_open, self._max_open)


def find_index(vm, members):
    """Return the `MemberIndex` of a VM.

    Parameters
    ----------
    vm : str
        The VM; it is counted even if it is not registered.
    members : iterable of str
        Names of the members.
    """
    names = sorted({vm, *members})
    return MemberIndex(names.index(vm), len(names))


def compute_limits(max_connections, target_id, member_index):
    """Return a VM's `PoolLimits` for a target.

    Parameters
    ----------
    max_connections : int
        The target's limit for all VMs together.
    target_id : str
        Id of the target.
    member_index : MemberIndex
        Place of the VM among the members.
    """
    equal_share = max_connections // member_index.member_count
    total_kept_open = int(KEEP_OPEN_SHARE * max_connections)
    return PoolLimits(
        max(1, equal_share) + EXTRA_CONNECTIONS,
        _divide(total_kept_open, target_id, member_index),
    )


def _divide(total, target_id, member_index):
    """Return the part of a total that falls to one member."""
    index, member_count = member_index
    share, remainder = divmod(total, member_count)
    # Another order of the members for each target spreads the remainders.
    place = (index + zlib.crc32(target_id.encode())) % member_count
    return share + (place < remainder)
