"""Follows the terms of the database groups."""

import logging

import msgspec
import trio

from geraniumridge._internal.decisions import authority
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import platform
from geraniumridge._internal.utils import codec

logger = logging.getLogger(__name__)

TERMS_KEY = "terms"
SETTLE_TRIES = 20
SETTLE_PAUSE_S = 0.2


def decode_record(data):
    """Return the terms record of its plain form."""
    return codec.decode(records.TermsRecord, {"groups": data or {}}, TERMS_KEY)


@registry.PLUGINS.register("terms")
class Terms(kernel.Plugin):
    """Reads the record of terms and keeps the evidence fresh."""

    def __init__(self, owner):
        super().__init__(owner)
        self._authority = authority.Authority(
            self._settings.authority.evidence_ttl_s
        )
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._changed = trio.Event()

    @property
    def authority(self):
        """The evidence on this VM."""
        return self._authority

    async def start(self, nursery):
        """Start reading."""
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        self._membership.add_heartbeat_extension(self)
        nursery.start_soon(self._follow)
        nursery.start_soon(self._watch)

    def extend_heartbeat(self, message):
        """Put the revision that this VM holds on a heartbeat."""
        message.terms_revision = self._authority.revision

    def read_heartbeat(self, message):
        """Nothing: members do not teach their leader terms."""

    def extend_answer(self, heartbeat, message):
        """Put evidence on the leader's answer, and news if any."""
        now = trio.current_time()
        message.evidence_age_s = self._authority.get_evidence_age(now)
        message.terms_revision = self._authority.revision
        message.promise_age_s = now - self._authority.promised_at
        message.closed = sorted(self._authority.closed)
        if heartbeat.terms_revision != self._authority.revision:
            groups = codec.encode(self._authority.record.groups)
            message.terms = msgspec.json.encode(groups).decode()

    def read_answer(self, message, sent_at, address):
        """Take the leader's evidence, aged from the heartbeat on."""
        record = None
        if message.terms:
            record = decode_record(msgspec.json.decode(message.terms))
        elif message.terms_revision != self._authority.revision:
            return
        read_at = sent_at - message.evidence_age_s
        self.note(read_at, message.terms_revision, record)
        promised_at = sent_at - message.promise_age_s
        revision = message.terms_revision
        self.note_promises(promised_at, revision, message.closed or [])

    async def wait_changed(self, timeout_s):
        """Wait for a newer record, or for a while."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()

    async def read(self):
        """Read the record once; returns its revision."""
        sent_at = trio.current_time()
        entry = await self._platform.get(TERMS_KEY)
        self.note(sent_at, entry.revision, decode_record(entry.value))
        return entry.revision

    async def update(self, group, expected, term):
        """Compare-and-swap one group's entry of the record.

        Parameters
        ----------
        group : str
            The group.
        expected : records.GroupTerm or None
            The entry that the decision was made on.
        term : records.GroupTerm
            The entry to write.

        Raises
        ------
        exceptions.ConflictError
            If the entry is no longer the expected one.
        exceptions.PlatformUnavailableError
            Without an answer; the write may have taken effect.
        """
        sent_at = trio.current_time()
        entry = await self._platform.get(TERMS_KEY)
        record = decode_record(entry.value)
        if record.groups.get(group) != expected:
            self.note(sent_at, entry.revision, record)
            raise exceptions.ConflictError(f"{group}: the term has changed")
        groups = {**record.groups, group: term}
        value = codec.encode(groups)
        revision = await self._platform.put(TERMS_KEY, value, entry.revision)
        self.note(sent_at, revision, records.TermsRecord(groups))

    async def settle(self, group, expected, term):
        """Update an entry; a lost answer is settled by reading back.

        Raises
        ------
        exceptions.ConflictError
            If another writer came first.
        exceptions.PlatformUnavailableError
            If the outcome could not be settled.
        """
        for _ in range(SETTLE_TRIES):
            try:
                await self.update(group, expected, term)
                return
            except exceptions.PlatformUnavailableError:
                await trio.sleep(SETTLE_PAUSE_S)
            except exceptions.ConflictError:
                await self.read()
                if self._authority.get_group(group) == term:
                    return
                if self._authority.get_group(group) != expected:
                    raise
        raise exceptions.PlatformUnavailableError(
            f"{group}: the change of term could not be recorded"
        )

    def learn(self, revision, record):
        """Take a record from another domain; it is no evidence."""
        if revision > self._authority.revision:
            self._authority.learn_record(revision, record)
            self._note_changed(revision)

    def note_promises(self, sent_at, revision, closed):
        """Take promises of most domains as evidence."""
        self._authority.note_promises(sent_at, revision, closed)

    def note(self, sent_at, revision, record):
        """Take a record that was read at a time."""
        newer = revision > self._authority.revision
        self._authority.note_record(sent_at, revision, record)
        if newer:
            self._note_changed(revision)

    def _note_changed(self, revision):
        logger.info(
            "terms changed",
            extra={"event": "terms_changed", "revision": revision},
        )
        self._changed.set()
        self._changed = trio.Event()

    async def _follow(self):
        while True:
            try:
                if self._membership.reads_platform:
                    await self.read()
                    self._directory.record_contact()
            except exceptions.PlatformError as error:
                logger.debug("no terms", extra={"reason": str(error)})
            await trio.sleep(self._settings.authority.read_every_s)

    async def _watch(self):
        """Learn of changes at once, beside the reads at intervals."""
        wait_s = self._settings.platform.watch_s
        while True:
            try:
                if self._membership.reads_platform:
                    revision = self._authority.revision
                    await self._platform.watch(TERMS_KEY, revision, wait_s)
                    await self.read()
                    continue
            except exceptions.PlatformError as error:
                logger.debug("no watch", extra={"reason": str(error)})
            await trio.sleep(self._settings.authority.read_every_s)
