"""Retry budget: retries may add a bounded share to the load."""

RETRY_SHARE = 0.2
RETRY_RESERVE = 20.0


class RetryBudget:
    """Allows retries as a share of the first attempts.

    Parameters
    ----------
    share : float, optional
        Retries allowed for each first attempt.
    reserve : float, optional
        Most retries that may be saved up.
    """

    def __init__(self, share=RETRY_SHARE, reserve=RETRY_RESERVE):
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def note_attempt(self):
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self):
        """Spend one retry; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
