"""Keep this VM's copy of the terms of the database groups.

A term is the time in which one target is a group's primary, by an
increasing number. The terms record in the platform's store holds each
group's term and primary.
"""

import logging

import msgspec
import trio

from geraniumridge._internal.decisions import term_evidence
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import platform
from geraniumridge._internal.utils import codec

logger = logging.getLogger(__name__)

TERMS_KEY = "terms"
"""Key of the terms record in the platform's store."""

SWAP_ATTEMPTS = 20
"""Bounds the attempts of a compare-and-swap whose outcome is unknown."""

SWAP_RETRY_DELAY_S = 0.2
"""Delay after an attempt that the platform did not answer."""


def decode_record(data):
    """Return the terms record that decoded JSON represents."""
    return codec.decode(records.TermsRecord, {"groups": data or {}}, TERMS_KEY)


@registry.PLUGINS.register("terms")
class Terms(kernel.Plugin):
    """Reader and writer of the terms record.

    A cell is the VMs of one failure domain that follow one elected
    leader. The leader, or a VM that knows no leader, reads the record
    from the platform; the others get it, with its age, in the answers
    to their heartbeats.
    """

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._evidence = term_evidence.TermEvidence(
            self._settings.authority.evidence_ttl_s
        )
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._changed = trio.Event()

    @property
    def evidence(self):
        """The terms record known to this VM and the evidence for it."""
        return self._evidence

    async def start(self, nursery):
        """Start to read and watch the record."""
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        self._membership.add_heartbeat_extension(self)
        nursery.start_soon(self._read_periodically)
        nursery.start_soon(self._watch_record)

    def extend_heartbeat(self, message):
        """Add the revision that this VM holds to a heartbeat."""
        message.terms_revision = self._evidence.revision

    def read_heartbeat(self, message):
        """Do nothing: leaders do not take terms from members."""

    def extend_answer(self, heartbeat, message):
        """Add the record's age, and the record if it changed, to an answer."""
        now = trio.current_time()
        message.evidence_age_s = self._evidence.get_read_age(now)
        message.terms_revision = self._evidence.revision
        message.promise_age_s = now - self._evidence.promised_at
        message.closed = sorted(self._evidence.closed_groups)
        if heartbeat.terms_revision != self._evidence.revision:
            groups = codec.encode(self._evidence.record.groups)
            message.terms = msgspec.json.encode(groups).decode()

    def read_answer(self, message, sent_at, address):
        """Take the leader's record and its age.

        The ages count from when the heartbeat was sent, so the time of
        the exchange makes the record older, never younger.
        """
        record = None
        if message.terms:
            record = decode_record(msgspec.json.decode(message.terms))
        elif message.terms_revision != self._evidence.revision:
            return
        read_at = sent_at - message.evidence_age_s
        self.note_read(read_at, message.terms_revision, record)
        promised_at = sent_at - message.promise_age_s
        revision = message.terms_revision
        self.note_promises(promised_at, revision, message.closed or [])

    async def wait_changed(self, timeout_s):
        """Wait for a newer record, at most `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()

    async def read_record(self):
        """Read the record from the platform and return its revision."""
        sent_at = trio.current_time()
        store_entry = await self._platform.get(TERMS_KEY)
        self.note_read(
            sent_at, store_entry.revision, decode_record(store_entry.value)
        )
        return store_entry.revision

    async def compare_and_swap(self, group, expected, new_term):
        """Compare-and-swap one group's entry of the record.

        Parameters
        ----------
        group : str
            The group.
        expected : records.GroupTerm or None
            Entry that is replaced, None if there is none yet.
        new_term : records.GroupTerm
            Entry to store.

        Raises
        ------
        exceptions.ConflictError
            If another entry is stored.
        exceptions.PlatformUnavailableError
            If no answer came; the write may have taken effect.
        """
        sent_at = trio.current_time()
        store_entry = await self._platform.get(TERMS_KEY)
        record = decode_record(store_entry.value)
        if record.groups.get(group) != expected:
            self.note_read(sent_at, store_entry.revision, record)
            raise exceptions.ConflictError(f"{group}: the term has changed")
        groups = {**record.groups, group: new_term}
        value = codec.encode(groups)
        revision = await self._platform.put(
            TERMS_KEY, value, store_entry.revision
        )
        self.note_read(sent_at, revision, records.TermsRecord(groups))

    async def compare_and_swap_with_retry(self, group, expected, new_term):
        """Compare and swap an entry until the outcome is known.

        After a lost answer the next attempt fails if the write took
        effect; the record is then read to find that out.

        Raises
        ------
        exceptions.ConflictError
            If another writer has changed the entry.
        exceptions.PlatformUnavailableError
            If the outcome is still unknown.
        """
        for _ in range(SWAP_ATTEMPTS):
            try:
                await self.compare_and_swap(group, expected, new_term)
                return
            except exceptions.PlatformUnavailableError:
                await trio.sleep(SWAP_RETRY_DELAY_S)
            except exceptions.ConflictError:
                await self.read_record()
                if self._evidence.get_group(group) == new_term:
                    return
                if self._evidence.get_group(group) != expected:
                    raise
        raise exceptions.PlatformUnavailableError(
            f"{group}: the change of term could not be recorded"
        )

    def adopt_record(self, revision, record):
        """Take a newer record of another domain, which is no evidence."""
        if revision > self._evidence.revision:
            self._evidence.adopt_record(revision, record)
            self._announce_change(revision)

    def note_promises(self, sent_at, revision, closed):
        """Note that most domains promised to take part in no promotion.

        Parameters
        ----------
        sent_at : float
            When the promises were asked for, on the monotonic clock.
        revision : int
            Revision of the record that the requests named.
        closed : iterable of str
            Groups that some domain has closed.
        """
        self._evidence.note_promises(sent_at, revision, closed)

    def note_read(self, sent_at, revision, record):
        """Note a read of the record.

        Parameters
        ----------
        sent_at : float
            When the read was sent, on this VM's monotonic clock.
        revision : int
            The record's revision.
        record : records.TermsRecord or None
            The record, None if unchanged since the revision held.
        """
        is_newer = revision > self._evidence.revision
        self._evidence.note_read(sent_at, revision, record)
        if is_newer:
            self._announce_change(revision)

    def _announce_change(self, revision):
        logger.info(
            "terms changed",
            extra={"event": "terms_changed", "revision": revision},
        )
        self._changed.set()
        self._changed = trio.Event()

    async def _read_periodically(self):
        while True:
            try:
                if self._membership.reads_platform:
                    await self.read_record()
                    self._directory.record_contact()
            except exceptions.PlatformError as error:
                logger.debug(
                    "reading the terms record failed; will retry",
                    extra={"reason": str(error)},
                )
            await trio.sleep(self._settings.authority.read_every_s)

    async def _watch_record(self):
        """Read the record as soon as it changes, between the regular reads."""
        wait_s = self._settings.platform.watch_s
        while True:
            try:
                if self._membership.reads_platform:
                    revision = self._evidence.revision
                    await self._platform.watch(TERMS_KEY, revision, wait_s)
                    await self.read_record()
                    continue
            except exceptions.PlatformError as error:
                logger.debug(
                    "watching the terms record failed; will retry",
                    extra={"reason": str(error)},
                )
            await trio.sleep(self._settings.authority.read_every_s)
