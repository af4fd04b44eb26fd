"""Retry budget: retries may add a bounded share to the load."""

RETRIES_PER_ATTEMPT = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allows retries as a share of the first attempts.

    Parameters
    ----------
    retries_per_attempt : float, optional
        Retries allowed for each first attempt.
    max_saved_retries : float, optional
        Most retries that may be saved up.
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
        """Spend one retry; False if none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
