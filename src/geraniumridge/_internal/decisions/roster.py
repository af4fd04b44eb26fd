"""Members registered in the store, and those registered recently."""

import math
import typing

from geraniumridge._internal.decisions import quorum


class MemberChange(typing.NamedTuple):
    """A VM that joined or left, and the clock time when that was seen."""

    vm: str
    seen_at: float


class Roster:
    """Members by VM, with their recent changes; times in seconds."""

    def __init__(self):
        self._members = {}
        self._change_count = 0
        self._departures = {}
        self._log = []
        self._listed_at = math.inf
        self._voters = frozenset()
        self._voters_change_count = 0

    @property
    def members(self):
        """Live `fleet.Member` by VM."""
        return self._members

    @property
    def change_count(self):
        """Number of changes so far."""
        return self._change_count

    @property
    def voters(self):
        """Names of the members that confirm leadership records.

        Kept until the members change, since it is read often.
        """
        if self._voters_change_count != self._change_count:
            self._voters_change_count = self._change_count
            self._voters = quorum.choose_voters(self._members)
        return self._voters

    def list_others(self, vm):
        """Return all members except one VM."""
        return [item for item in self._members.values() if item.vm != vm]

    def put(self, member, now):
        """Add or update a member."""
        if member.vm not in self._members:
            self._log.append(MemberChange(member.vm, now))
        self._members[member.vm] = member
        self._change_count += 1
        self._departures.pop(member.vm, None)

    def remove(self, vm, now):
        """Remove a member and record its departure."""
        if self._members.pop(vm, None) is not None:
            self._log.append(MemberChange(vm, now))
        self._change_count += 1
        self._departures[vm] = now

    def note_listing(self, now):
        """Record that changes before a full listing may have been missed."""
        self._listed_at = now

    def list_departures(self, now, within_s):
        """Return the VMs that left during the last `within_s` seconds."""
        return [
            vm
            for vm, seen_at in self._departures.items()
            if now - seen_at <= within_s
        ]

    def list_member_sets(self, since):
        """Return each set of members that was registered since a time.

        Parameters
        ----------
        since : float
            Clock time, in seconds.

        Returns
        -------
        list of frozenset or None
            None if some of the sets may have been missed.
        """
        if self._listed_at > since:
            return None
        members = set(self._members)
        sets = [frozenset(members)]
        for change in reversed(self._log):
            if change.seen_at < since:
                break
            members ^= {change.vm}
            sets.append(frozenset(members))
        return sets

    def expire(self, now, retention_s):
        """Remove departures and changes older than the retention time."""
        for vm, seen_at in list(self._departures.items()):
            if now - seen_at > retention_s:
                del self._departures[vm]
        if self._log and now - self._log[0].seen_at > retention_s:
            self._log = [
                change
                for change in self._log
                if now - change.seen_at <= retention_s
            ]
