"""How old the knowledge of the platform's store is.

An answer proves the store's state at some moment after its question
was sent, so ages count from the sending.
"""

import math


class ViewAge:
    """Age of the newest evidence from the store; times in seconds."""

    def __init__(self):
        self._confirmed_at = -math.inf

    @property
    def confirmed_at(self):
        """Clock time up to which the store's state is known."""
        return self._confirmed_at

    def confirm(self, sent_at):
        """Take in an answer that the own view has caught up with.

        Parameters
        ----------
        sent_at : float
            Clock time just before the question was sent.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def get_age(self, now):
        """Return the age of the knowledge, infinite without any."""
        return now - self._confirmed_at

    def is_within(self, now, bound_s):
        """Tell whether the knowledge is at most that old."""
        return self.get_age(now) <= bound_s
