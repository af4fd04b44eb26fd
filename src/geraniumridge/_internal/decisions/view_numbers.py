"""View numbers that a VM has accepted or seen."""


class ViewNumbers:
    """The highest view numbers, by which a VM ranks claims and views."""

    def __init__(self):
        self._accepted = 0
        self._highest_seen = 0

    @property
    def accepted(self):
        """The highest number claimed, accepted in a claim or adopted.

        Claims and views with a lower number are refused.
        """
        return self._accepted

    @property
    def highest_seen(self):
        """The highest number that another VM mentioned."""
        return self._highest_seen

    @property
    def highest(self):
        """The highest number accepted or seen, which a new claim exceeds."""
        return max(self._accepted, self._highest_seen)

    def accept(self, number):
        """Accept a number, unless a higher one was accepted before."""
        self._accepted = max(self._accepted, number)

    def note_seen(self, number):
        """Note a number that another VM mentioned."""
        self._highest_seen = max(self._highest_seen, number)

    def take_next(self):
        """Accept and return the number of a new claim."""
        self._accepted = self.highest + 1
        return self._accepted
