"""Growing pauses between tries of something that fails."""


class Backoff:
    """Pauses that double from a first to a longest one.

    Parameters
    ----------
    first_s : float
        First pause, in seconds.
    most_s : float
        Longest pause, in seconds.
    """

    def __init__(self, first_s, max_s):
        self._first_s = first_s
        self._max_s = max_s
        self._next_s = first_s

    def next_delay_s(self):
        """Return the pause after one more failure, in seconds."""
        delay_s = self._next_s
        self._next_s = min(self._max_s, delay_s * 2)
        return delay_s

    def reset(self):
        """Begin anew after a success."""
        self._next_s = self._first_s
