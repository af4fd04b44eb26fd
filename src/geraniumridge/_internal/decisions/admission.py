"""Tokens that an entry VM holds for one team."""

import collections
import math
import typing

DEMAND_WINDOW_S = 1.0
PREPAID_S = 0.05


class _Held(typing.NamedTuple):
    """What is left of a batch."""

    source: str
    batch: int
    expires_at: float


class TokenPool:
    """Prepaid tokens of one team, and how many it uses."""

    def __init__(self):
        self._tokens = collections.deque()
        self._left = collections.Counter()
        self._closed = {}
        self._demand = 0.0
        self._demand_at = -math.inf

    def add(self, source, batch, count, expires_at):
        """Take a batch of tokens.

        Parameters
        ----------
        source : str
            Domain of the limiter that gave it.
        batch : int
            The batch's number there.
        count : int
            Number of tokens.
        expires_at : float
            End of its validity on this VM's clock, in seconds.
        """
        held = _Held(source, batch, expires_at)
        self._left[source, batch] = count
        self._tokens.extend([held] * count)

    def take(self, now):
        """Spend one token; False if none is valid."""
        self._drop_expired(now)
        if not self._tokens:
            return False
        held = self._tokens.popleft()
        self._use(held)
        return True

    def note_demand(self, now):
        """Count one request, for the size of prepaid batches."""
        elapsed = now - self._demand_at
        self._demand *= math.exp(-elapsed / DEMAND_WINDOW_S)
        self._demand += 1.0
        self._demand_at = now

    def get_prepaid(self, now):
        """Return how many tokens to draw ahead."""
        elapsed = now - self._demand_at
        rate = self._demand * math.exp(-elapsed / DEMAND_WINDOW_S)
        return int(rate / DEMAND_WINDOW_S * PREPAID_S)

    def take_closed(self, now, source):
        """Return and forget the batches of a source that are closed."""
        self._drop_expired(now)
        return self._closed.pop(source, [])

    def put_closed(self, source, batches):
        """Keep closed batches whose report was lost."""
        self._closed.setdefault(source, []).extend(batches)

    def _drop_expired(self, now):
        while self._tokens and self._tokens[0].expires_at <= now:
            self._use(self._tokens.popleft())

    def _use(self, held):
        key = (held.source, held.batch)
        self._left[key] -= 1
        if self._left[key] <= 0:
            del self._left[key]
            self.put_closed(held.source, [held.batch])
