"""Limits of teams over all VMs: the own share of rate and burst."""


class Bucket:
    """Token bucket; rate in tokens per second.

    Parameters
    ----------
    rate : float
        Tokens gained per second.
    burst : float
        Most tokens held.
    now : float
        Clock time, in seconds.
    """

    def __init__(self, rate, burst, now):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def set_allowance(self, rate, burst, now):
        """Change rate and burst; the level never rises by it."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def take(self, now):
        """Take one token; tells whether there was one."""
        self._fill(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _fill(self, now):
        gained = (now - self._filled_at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._filled_at = now


class Rates:
    """Equal shares of all teams' limits."""

    def __init__(self):
        self._buckets = {}

    def take(self, team, members, now):
        """Take one operation of a team.

        Parameters
        ----------
        team : desired.Team
            The team and its limit.
        members : int
            VMs that share it.
        now : float
            Clock time, in seconds.
        """
        share = 1 / max(1, members)
        rate = team.rate_per_s * share
        burst = max(1.0, team.burst * share)
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = Bucket(rate, burst, now)
            self._buckets[team.name] = bucket
        bucket.set_allowance(rate, burst, now)
        return bucket.take(now)
