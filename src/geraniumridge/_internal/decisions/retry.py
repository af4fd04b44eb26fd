"""Retry budget, which bounds the load that retries add."""

RETRIES_PER_ATTEMPT = 0.2
"""Retries earned by each first attempt: while targets fail, retries from the
budget add at most this fraction to the load."""

MAX_SAVED_RETRIES = 20.0
"""Most retries that can be saved up, and the number available at the start;
bounds a burst of retries."""


class RetryBudget:
    """Budget of retries, earned by first attempts.

    Parameters
    ----------
    retries_per_attempt : float, optional
        Retries earned by each first attempt.
    max_saved_retries : float, optional
        Most retries that can be saved up.
    """

    def __init__(
        self,
        retries_per_attempt=RETRIES_PER_ATTEMPT,
        max_saved_retries=MAX_SAVED_RETRIES,
    ):
        self._retries_per_attempt = retries_per_attempt
        self._max_saved_retries = max_saved_retries
        self._available = max_saved_retries

    def note_first_attempt(self):
        """Count a first attempt."""
        self._available = min(
            self._max_saved_retries,
            self._available + self._retries_per_attempt,
        )

    def take_retry(self):
        """Spend one retry and return whether one was left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
