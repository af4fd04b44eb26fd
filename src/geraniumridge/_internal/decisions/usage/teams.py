"""Teams whose counts are taken."""

RETENTION_S = 60.0
"""How long a team that left the configuration is still known, so that the
counts of its last requests are reported."""


class KnownTeams:
    """Teams that are, or recently were, in the configuration."""

    def __init__(self):
        self._seen_at = {}

    def __contains__(self, team):
        return team in self._seen_at

    def update(self, teams, now):
        """Set the teams of the configuration.

        Parameters
        ----------
        teams : mapping
            Teams by name.
        now : float
            Clock time, in seconds.
        """
        for team in teams:
            self._seen_at[team] = now
        for team, seen_at in list(self._seen_at.items()):
            if now - seen_at > RETENTION_S:
                del self._seen_at[team]
