"""Rate limit tokens that a VM holds for one team.

A VM requests tokens in batches from the limiters of the failure domains
(see `limiter`) and spends one for each request that it admits. A batch
is closed once all its tokens are spent or have expired; the VM reports
closed batches to the limiter with its next token request.
"""

import collections
import math
import typing

DEMAND_WINDOW_S = 1.0
"""Time constant with which counted requests decay exponentially; bounds
how long past requests influence the measured request rate."""

PREPAID_DEMAND_S = 0.05
"""Seconds of the measured request rate for which a token request asks
for tokens in advance; with them a request needs no message to the
limiter."""


class _Token(typing.NamedTuple):
    """One token: where its batch came from and when it expires."""

    source: str
    batch: int
    expires_at: float


class TokenPool:
    """Unspent tokens of one team and the team's request rate on this VM."""

    def __init__(self):
        self._tokens = collections.deque()
        self._unspent = collections.Counter()
        self._closed_batches = {}
        self._request_count = 0.0
        self._counted_at = -math.inf

    def add_batch(self, source, batch, count, expires_at):
        """Add a batch of tokens.

        Parameters
        ----------
        source : str
            Failure domain of the limiter that granted it.
        batch : int
            Number of the batch at that limiter.
        count : int
            Number of tokens.
        expires_at : float
            When the tokens expire on this VM's clock, in seconds.
        """
        token = _Token(source, batch, expires_at)
        self._unspent[source, batch] = count
        self._tokens.extend([token] * count)

    def take_token(self, now):
        """Spend one token and return whether there was a valid one."""
        self._drop_expired(now)
        if not self._tokens:
            return False
        token = self._tokens.popleft()
        self._consume(token)
        return True

    def note_request(self, now):
        """Count one request for the measured request rate."""
        elapsed = now - self._counted_at
        self._request_count *= math.exp(-elapsed / DEMAND_WINDOW_S)
        self._request_count += 1.0
        self._counted_at = now

    def get_prepaid_count(self, now):
        """Return how many tokens to request in advance."""
        elapsed = now - self._counted_at
        rate = self._request_count * math.exp(-elapsed / DEMAND_WINDOW_S)
        return int(rate / DEMAND_WINDOW_S * PREPAID_DEMAND_S)

    def pop_closed_batches(self, now, source):
        """Remove and return the closed batches of a limiter's domain."""
        self._drop_expired(now)
        return self._closed_batches.pop(source, [])

    def add_closed_batches(self, source, batches):
        """Add closed batches, to be reported with the next token request.

        Also takes back the batches of a report that was lost.
        """
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
