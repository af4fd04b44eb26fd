"""A failure domain's promises not to change primaries.

While the platform is unreachable, promises of most domains replace the read
of its terms record as evidence that a term is current (see `term_evidence`). A
promise covers all groups that the domain has not closed. A failover closes
its group in at least half of the domains first, and waits until the
promises that these domains gave before have expired.
"""

import math
import typing


class PromiseResult(typing.NamedTuple):
    """Answer to the request for a promise; `closed` groups are excluded."""

    promised: bool
    closed: frozenset[str] = frozenset()


class CloseResult(typing.NamedTuple):
    """Answer to the request to close a group.

    `remaining_s` is how long earlier promises may still be valid, in
    seconds.
    """

    closed: bool
    remaining_s: float = 0.0


class DomainPromises:
    """Promises and closed groups of a domain.

    They are kept by the leader that most of the domain's VMs follow.

    Parameters
    ----------
    ttl_s : float
        How long a promise is valid, in seconds.
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._leading_since = math.inf
        self._promised_until = -math.inf
        self._closed = {}

    def start_leading(self, now):
        """Start as leader of the domain.

        Promises and closings of previous leaders are not known.
        """
        self._leading_since = now
        self._promised_until = -math.inf
        self._closed = {}

    def stop_leading(self):
        """Stop as leader of the domain; requests are refused from now on."""
        self._leading_since = math.inf

    def give_promise(self, now, read_at, revision, asked_revision):
        """Answer the request for a promise.

        It is refused while promises of earlier leaders may still be valid,
        if this VM has not read the terms record since it became the leader,
        or if it knows a newer record than the VM that asks.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        read_at : float
            When this VM sent its last read of the terms record, in seconds.
        revision : int
            Revision of the record that it knows.
        asked_revision : int
            Revision of the record at the VM that asks.

        Returns
        -------
        PromiseResult
        """
        earlier_promises_expired = now >= self._leading_since + self._ttl_s
        # A read since then shows the pending terms for which earlier leaders
        # closed groups.
        has_read_record = read_at >= self._leading_since
        if not (
            earlier_promises_expired
            and has_read_record
            and revision <= asked_revision
        ):
            return PromiseResult(False)
        self._promised_until = now + self._ttl_s
        return PromiseResult(True, frozenset(self._closed))

    def close_group(self, now, group, term):
        """Exclude a group from promises until a term is in force.

        Refused if this VM doesn't lead the domain.
        """
        if now < self._leading_since:
            return CloseResult(False)
        self._closed[group] = max(term, self._closed.get(group, 0))
        promised_until = max(
            self._promised_until, self._leading_since + self._ttl_s
        )
        return CloseResult(True, max(0.0, promised_until - now))

    def forget_closings(self, groups):
        """Reopen groups whose closing term is in force."""
        for group, term in list(self._closed.items()):
            known = groups.get(group)
            if known and known.term >= term and not known.pending:
                del self._closed[group]


def is_majority(count, domain_count):
    """Return whether a count is a strict majority of the domains."""
    return 2 * count > domain_count
