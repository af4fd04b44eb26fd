"""Tokens that an entry VM holds for one team."""

import collections
import math
import typing

DEMAND_WINDOW_S = 1.0
PREPAID_DEMAND_S = 0.05


class _Token(typing.NamedTuple):
    """What is left of a batch."""

    source: str
    batch: int
    expires_at: float


class TokenPool:
    """Prepaid tokens of one team, and how many it uses."""

    def __init__(self):
        self._tokens = collections.deque()
        self._unspent = collections.Counter()
        self._closed_batches = {}
        self._request_count = 0.0
        self._counted_at = -math.inf

    def add_batch(self, source, batch, count, expires_at):
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
        token = _Token(source, batch, expires_at)
        self._unspent[source, batch] = count
        self._tokens.extend([token] * count)

    def take_token(self, now):
        """Spend one token; False if none is valid."""
        self._drop_expired(now)
        if not self._tokens:
            return False
        token = self._tokens.popleft()
        self._consume(token)
        return True

    def note_request(self, now):
        """Count one request, for the size of prepaid batches."""
        elapsed = now - self._counted_at
        self._request_count *= math.exp(-elapsed / DEMAND_WINDOW_S)
        self._request_count += 1.0
        self._counted_at = now

    def get_prepaid_count(self, now):
        """Return how many tokens to draw ahead."""
        elapsed = now - self._counted_at
        rate = self._request_count * math.exp(-elapsed / DEMAND_WINDOW_S)
        return int(rate / DEMAND_WINDOW_S * PREPAID_DEMAND_S)

    def pop_closed_batches(self, now, source):
        """Return and forget the batches of a source that are closed."""
        self._drop_expired(now)
        return self._closed_batches.pop(source, [])

    def add_closed_batches(self, source, batches):
        """Keep closed batches whose report was lost."""
        self._closed_batches.setdefault(source, []).extend(batches)

    def _drop_expired(self, now):
        while self._tokens and self._tokens[0].expires_at <= now:
            self._consume(self._tokens.popleft())

    def _consume(self, token):
        key = (token.source, token.batch)
        self._unspent[key] -= 1
        if self._unspent[key] <= 0:
            del self._unspent[key]
            self.add_closed_batches(token.source, [token.batch])
