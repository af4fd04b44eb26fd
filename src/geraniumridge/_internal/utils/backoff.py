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

    def __init__(self, first_s, most_s):
        self._first_s = first_s
        self._most_s = most_s
        self._next_s = first_s

    def next_pause(self):
        """Return the pause after one more failure, in seconds."""
        pause_s = self._next_s
        self._next_s = min(self._most_s, pause_s * 2)
        return pause_s

    def reset(self):
        """Begin anew after a success."""
        self._next_s = self._first_s
