"""A domain's promises to take part in no change of primary.

While the platform cannot be asked, promises of most domains are the
evidence that lets acknowledgements pass. A promise covers every group
that the domain has not closed; closing answers how long the last
promise still holds.
"""

import math
import typing


class PromiseResult(typing.NamedTuple):
    """Answer to the question for a promise."""

    promised: bool
    closed: frozenset[str] = frozenset()


class CloseResult(typing.NamedTuple):
    """Answer to a closing; `remaining_s` in seconds."""

    closed: bool
    remaining_s: float = 0.0


class DomainPromises:
    """What the leader that speaks for a domain promised and closed.

    Parameters
    ----------
    ttl_s : float
        How long a promise holds, in seconds.
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._leading_since = math.inf
        self._promised_until = -math.inf
        self._closed = {}

    def start_leading(self, now):
        """Begin to speak; what earlier leaders did is not known."""
        self._leading_since = now
        self._promised_until = -math.inf
        self._closed = {}

    def stop_leading(self):
        """Speak no more."""
        self._leading_since = math.inf

    def give_promise(self, now, read_at, revision, asked_revision):
        """Answer the question for a promise.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        read_at : float
            When this VM last read the record of terms.
        revision : int
            Revision of the record that it holds.
        asked_revision : int
            Revision on which the asker would act.

        Returns
        -------
        PromiseResult
        """
        waited_out = now >= self._leading_since + self._ttl_s
        # A reading since then shows every closing of earlier leaders.
        has_read_record = read_at >= self._leading_since
        if not (waited_out and has_read_record and revision <= asked_revision):
            return PromiseResult(False)
        self._promised_until = now + self._ttl_s
        return PromiseResult(True, frozenset(self._closed))

    def close_group(self, now, group, term):
        """Close a group to promises for terms before the given one."""
        if now < self._leading_since:
            return CloseResult(False)
        self._closed[group] = max(term, self._closed.get(group, 0))
        promised_until = max(
            self._promised_until, self._leading_since + self._ttl_s
        )
        return CloseResult(True, max(0.0, promised_until - now))

    def forget_closings(self, groups):
        """Forget closings of terms that have come into force."""
        for group, term in list(self._closed.items()):
            known = groups.get(group)
            if known and known.term >= term and not known.pending:
                del self._closed[group]


def is_majority(count, domain_count):
    """Tell whether a count is a strict majority of the domains."""
    return 2 * count > domain_count
