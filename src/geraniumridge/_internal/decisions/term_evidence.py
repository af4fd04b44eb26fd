"""Check that no later term of a group can be in force.

A primary that was replaced may still acknowledge statements. A VM
therefore passes on an acknowledgement only if it has recent evidence that
the term is current: either a read of the terms record from the platform,
or promises of most failure domains not to change the primary (see
`promises`). Evidence expires after a TTL that starts when the request for
it was sent.
"""

from geraniumridge._internal.models import records


class TermEvidence:
    """One VM's copy of the terms record and the evidence that it is current.

    `note_read` and `note_promises` add evidence. `adopt_record` replaces the
    record without adding any.

    Parameters
    ----------
    ttl_s : float
        How long evidence is valid, in seconds.
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
        """The newest known terms record."""
        return self._record

    @property
    def revision(self):
        """The platform's revision of `record`."""
        return self._revision

    @property
    def read_at(self):
        """When the last successful read of the record was sent."""
        return self._read_at

    def get_group(self, group):
        """Return the `GroupTerm` of a group, or None."""
        return self._record.groups.get(group)

    def note_read(self, sent_at, revision, record):
        """Note a successful read of the record from the platform.

        Parameters
        ----------
        sent_at : float
            When the read was sent, on this VM's monotonic clock.
        revision : int
            The record's revision.
        record : records.TermsRecord or None
            The record; None if it is the one already known.
        """
        if revision < self._revision:
            return
        if record is not None:
            self._record = record
            self._revision = revision
        self._read_at = max(self._read_at, sent_at)

    def adopt_record(self, revision, record):
        """Take over a newer record from another VM.

        This doesn't count as evidence, since the record may be old.
        """
        if revision > self._revision:
            self._record = record
            self._revision = revision

    def note_promises(self, sent_at, revision, closed_groups):
        """Note the promises of most failure domains.

        Parameters
        ----------
        sent_at : float
            When the requests were sent, on this VM's monotonic clock.
        revision : int
            Revision of the terms record that the requests named.
        closed_groups : iterable of str
            Groups that at least one domain excluded from its promise.
        """
        if sent_at >= self._promised_at:
            self._promised_at = sent_at
            self._promised_revision = revision
            self._closed_groups = frozenset(closed_groups)

    @property
    def promised_at(self):
        """When the requests for the last promises were sent."""
        return self._promised_at

    @property
    def closed_groups(self):
        """Groups that the last promises don't cover."""
        return self._closed_groups

    def get_read_age(self, now):
        """Return the seconds since the last successful read was sent."""
        return now - self._read_at

    def may_acknowledge(self, group, term, now):
        """Return whether acknowledgements of a term may be passed on."""
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
