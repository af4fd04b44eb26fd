"""Age of the store view.

An answer shows the state of the store at some moment after the request
was sent, so the age counts from the time of sending.
"""

import math


class ViewAge:
    """Age of the store view; times in seconds."""

    def __init__(self):
        self._confirmed_at = -math.inf
        self._previous_confirmed_at = -math.inf

    @property
    def confirmed_at(self):
        """Clock time up to which the view is known to be complete."""
        return self._confirmed_at

    @property
    def previous_confirmed_at(self):
        """The `confirmed_at` before the last answer that raised it.

        What that answer shows for the first time began later.
        """
        return self._previous_confirmed_at

    def confirm(self, sent_at):
        """Record an answer of the store that the view now reflects.

        Parameters
        ----------
        sent_at : float
            Clock time just before the request was sent.
        """
        if sent_at > self._confirmed_at:
            self._previous_confirmed_at = self._confirmed_at
            self._confirmed_at = sent_at

    def get_age(self, now):
        """Return the age, infinite before the first answer."""
        return now - self._confirmed_at

    def is_within(self, now, bound_s):
        """Return whether the view is at most `bound_s` old."""
        return self.get_age(now) <= bound_s
