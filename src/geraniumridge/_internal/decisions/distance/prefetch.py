"""Tokens that a VM requests ahead of need from a distant limiter.

A request takes a round trip between regions. Tokens expire
`token_bucket.GRANT_LIFETIME_S` after their request, and unused ones are lost
to the team, so a VM requests ahead only what it will probably use.
"""

import math
import typing

from geraniumridge._internal.decisions import token_bucket

MIN_USED_TOKENS = 1.0
"""Least tokens that a VM uses, on average, in the lifetime of a prefetched
token. A VM with less demand requests none ahead, since most would expire."""

MAX_REQUESTED = 256
"""Most tokens of one request."""


class Stock(typing.NamedTuple):
    """Tokens of a team at a VM.

    `held` are those that have not expired, `requested` those of requests
    without an answer. `awaiting` is the number of operations that wait for
    one.
    """

    held: int
    requested: int
    awaiting: int


def count_tokens_to_request(stock, rate, round_trip_s, has_spare):
    """Return how many tokens to request now, 0 for none.

    Parameters
    ----------
    stock : Stock
        Tokens and operations of the team at this VM.
    rate : float
        Operations of the team at this VM per second.
    round_trip_s : float
        Round trip to the limiter, in seconds.
    has_spare : bool
        Whether the limiter granted the last request in full. If it did not,
        tokens are requested for waiting operations only, as those that
        expire unused would be missing elsewhere.
    """
    available = stock.held + stock.requested
    usable_s = max(0.0, token_bucket.GRANT_LIFETIME_S - round_trip_s)
    low = 0
    ahead = 0
    if has_spare and rate * usable_s >= MIN_USED_TOKENS:
        # The operations of one round trip, and the spread of their number.
        expected = rate * round_trip_s
        low = math.ceil(expected + math.sqrt(expected))
        ahead = int(rate * usable_s / 2)
    if available >= stock.awaiting + low:
        return 0
    return min(MAX_REQUESTED, stock.awaiting + low + ahead - available)
