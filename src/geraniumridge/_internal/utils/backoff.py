"""Exponential backoff between attempts at an operation that fails."""


class Backoff:
    """Delays that double from a first to a longest one.

    Parameters
    ----------
    first_s : float
        First delay, in seconds.
    max_s : float
        Longest delay, in seconds.
    """

    def __init__(self, first_s, max_s):
        self._first_s = first_s
        self._max_s = max_s
        self._next_s = first_s

    def next_delay_s(self):
        """Return the delay after one more failure, in seconds."""
        delay_s = self._next_s
        self._next_s = min(self._max_s, delay_s * 2)
        return delay_s

    def reset(self):
        """Start again from the first delay, after a success."""
        self._next_s = self._first_s
