"""Evidence that no later term of a group can be in force.

An acknowledgement of a term is passed on only while evidence younger
than its TTL holds, counted from when the question was sent.
"""

from geraniumridge._internal.models import records


class TermAuthority:
    """What one VM knows of terms, and how fresh that is.

    Parameters
    ----------
    ttl_s : float
        How long evidence holds, in seconds.
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._record = records.TermsRecord()
        self._revision = 0
        self._read_at = float("-inf")
        self._promised_at = float("-inf")
        self._promised_revision = 0
        self._closed_groups = frozenset()

    @property
    def record(self):
        """The newest terms record seen."""
        return self._record

    @property
    def revision(self):
        """The platform's revision of that record."""
        return self._revision

    @property
    def read_at(self):
        """When the platform was last asked with success."""
        return self._read_at

    def get_group(self, group):
        """Return the `GroupTerm` of a group, or None."""
        return self._record.groups.get(group)

    def note_read(self, sent_at, revision, record):
        """Take a read of the platform's record.

        Parameters
        ----------
        sent_at : float
            When the read was sent, on this VM's monotonic clock.
        revision : int
            The record's revision.
        record : records.TermsRecord or None
            The record, None if unchanged since `revision`.
        """
        if revision < self._revision:
            return
        if record is not None:
            self._record = record
            self._revision = revision
        self._read_at = max(self._read_at, sent_at)

    def learn_record(self, revision, record):
        """Take a record from another VM; it is no evidence."""
        if revision > self._revision:
            self._record = record
            self._revision = revision

    def note_promises(self, sent_at, revision, closed_groups):
        """Take the promise of most domains.

        Parameters
        ----------
        sent_at : float
            When the questions were sent, in seconds.
        revision : int
            Revision of the record that they named.
        closed_groups : iterable of str
            Groups that some domain has closed.
        """
        if sent_at >= self._promised_at:
            self._promised_at = sent_at
            self._promised_revision = revision
            self._closed_groups = frozenset(closed_groups)

    @property
    def promised_at(self):
        """When promises were last asked for with success."""
        return self._promised_at

    @property
    def closed_groups(self):
        """Groups that the last promises did not cover."""
        return self._closed_groups

    def get_read_age(self, now):
        """Return the age in seconds of the last platform read."""
        return now - self._read_at

    def may_acknowledge(self, group, term, now):
        """Tell whether acknowledgements of a term may be passed on."""
        known = self.get_group(group)
        if known is None or known.term != term or known.pending:
            return False
        if now < self._read_at + self._ttl_s:
            return True
        return (
            now < self._promised_at + self._ttl_s
            and self._promised_revision == self._revision
            and group not in self._closed_groups
        )
