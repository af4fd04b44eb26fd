"""A VM's contact with the leader of its cell."""

LEADER_TIMEOUT_HEARTBEATS = 3
"""Heartbeat intervals without contact after which a leader counts as
failed. Each VM adds its rank by name, so that they do not all claim at
once."""


class LeaderContact:
    """Address of the leader, and when the last contact with it was.

    Parameters
    ----------
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    now : float
        Current time, in seconds; the leader has the timeout from now to make
        itself known.
    """

    def __init__(self, heartbeat_s, now):
        self._heartbeat_s = heartbeat_s
        self._timeout_s = LEADER_TIMEOUT_HEARTBEATS * heartbeat_s
        self._address = ""
        self._last_contact_at = now
        self._has_resigned = False

    @property
    def address(self):
        """Address that heartbeats go to; empty while unknown."""
        return self._address

    @property
    def has_resigned(self):
        """Whether the leader has said that it resigned."""
        return self._has_resigned

    def is_recent(self, now):
        """Return whether the last contact is within the timeout."""
        return now - self._last_contact_at < self._timeout_s

    def guess_address(self, now):
        """Return the leader's last known address if contact is recent."""
        return self._address if self.is_recent(now) else ""

    def set_address(self, address):
        """Set where the leader may be reached, without contact with it."""
        self._address = address

    def note_contact(self, at, address):
        """Note contact with the leader at a time, in seconds."""
        self._last_contact_at = max(self._last_contact_at, at)
        self._address = address

    def note_redirect(self, now, address):
        """Note that a VM follows the leader at an address.

        This gives the leader the rest of the timeout to answer before this
        VM claims.
        """
        self.note_contact(now - self._heartbeat_s, address)

    def note_resignation(self, now):
        """Note that the leader has said that it resigned."""
        self._has_resigned = True
        self.expire(now)

    def forget_resignation(self):
        """Forget a resignation, as there is a new leader or view."""
        self._has_resigned = False

    def restart_timeout(self, now):
        """Give a leader the whole timeout from now on."""
        self._last_contact_at = now

    def expire(self, now):
        """Treat the leader as failed, so that claims start by rank."""
        self._last_contact_at = min(
            self._last_contact_at, now - self._timeout_s
        )

    def is_claim_due(self, now, rank):
        """Return whether a VM of a rank by name may claim to lead."""
        silent_s = now - self._last_contact_at
        wait_heartbeats = LEADER_TIMEOUT_HEARTBEATS + rank
        return silent_s >= wait_heartbeats * self._heartbeat_s
