"""Distribution of the operators' configuration to the VMs.

The leader of a cell, which is the VMs of one failure domain, watches the
platform. The members fetch changes from it when the answer to a heartbeat
names a higher version. The leader of a cell that cannot reach the
platform fetches them from another cell.
"""

import logging

import trio

from geraniumridge._internal.decisions import chain
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore
from geraniumridge._internal.network import platform
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

PLATFORM_RETRY_DELAY_S = 0.25
"""Delay after a failed read of the platform, and between the checks
whether this VM is to read it."""

FETCH_TIMEOUT_S = 2.0
"""Timeout of a query for changes to another VM."""

MAX_CHANGES_PER_ANSWER = 200
"""Limits the size of an answer; the rest is fetched by later queries."""


@registry.PLUGINS.register("configuration")
class Configuration(kernel.Plugin):
    """Newest configuration that this VM has accepted."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._chain = chain.ConfigChain()
        self._leader_version = 0
        self._is_fetching = False

    @property
    def document(self):
        """The configuration in force on this VM."""
        return self._chain.document

    @property
    def version(self):
        """Version of the configuration in force; 0 before the first."""
        return self._chain.version

    @property
    def is_current(self):
        """Whether a configuration is in force, not older than the leader's.

        The leader's version is the highest that its answers named.
        """
        return self.version > 0 and self.version >= self._leader_version

    async def start(self, nursery):
        """Start to watch the platform and to fetch from other cells."""
        self._nursery = nursery
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._peers.handle(wire.messages.ConfigQuery, self._answer_query)
        self._membership.add_heartbeat_extension(self)
        nursery.start_soon(self._watch_platform)
        nursery.start_soon(self._fetch_from_other_cells)

    def extend_heartbeat(self, message):
        """Do nothing, as the directory adds the configuration version."""

    def read_heartbeat(self, message):
        """Fetch from a member that has a higher version."""
        if (message.config_version or 0) > self.version:
            self._start_fetch(message.sender.address)

    def extend_answer(self, heartbeat, message):
        """Add the version to the leader's answer."""
        message.config_version = self.version

    def read_answer(self, message, sent_at, address):
        """Fetch from the leader if it has a higher version."""
        version = message.config_version or 0
        self._leader_version = max(self._leader_version, version)
        if version > self.version:
            self._start_fetch(address)

    def find_team(self, key_hash):
        """Return the team of a key, or None if the key is not in force.

        Without a hash it is the team of anonymous callers.
        """
        if not key_hash:
            return config.OPEN_TEAM
        key_entry = self.document.keys.get(key_hash)
        return key_entry and key_entry.team

    def accept_change(self, change):
        """Accept the next change and report the version now in force."""
        problems = self._chain.accept(change)
        for problem in problems:
            logger.error(
                "configuration change ignored",
                extra={
                    "event": "change_ignored",
                    "version": change.version,
                    "problem": problem,
                },
            )
        self._report_version()

    def _report_version(self):
        logger.info(
            "configuration in force",
            extra={"event": "config_version", "version": self.version},
        )
        self._kernel.get("metrics").set_gauge("config_version", self.version)

    async def _watch_platform(self):
        while True:
            if not self._membership.reads_platform and self.version > 0:
                await trio.sleep(PLATFORM_RETRY_DELAY_S)
                continue
            try:
                await self._await_next_change()
                self._directory.record_contact()
            except exceptions.PlatformError as error:
                logger.debug(
                    "configuration not read from the platform",
                    extra={"reason": str(error)},
                )
                await trio.sleep(PLATFORM_RETRY_DELAY_S)
            except exceptions.GeraniumridgeError as error:
                logger.error(
                    "configuration change in the platform cannot be used",
                    extra={"event": "config_unusable", "reason": str(error)},
                )
                await trio.sleep(PLATFORM_RETRY_DELAY_S)

    async def _await_next_change(self):
        if self.version == 0:
            await self._load_snapshot()
        await self._restore_lost_changes()
        key = configstore.make_change_key(self.version + 1)
        wait_s = self._settings.platform.watch_s
        store_entry = await self._platform.watch(key, 0, wait_s)
        if store_entry.value is None:
            return
        change = chain.decode_change(store_entry.value)
        # The change may have been fetched from another cell meanwhile.
        if change.version == self.version + 1:
            self.accept_change(change)

    async def _load_snapshot(self):
        store_entry = await self._platform.get(configstore.SNAPSHOT_KEY)
        if store_entry.value is not None:
            snapshot = chain.decode_snapshot(store_entry.value)
            if self._chain.load_snapshot(snapshot):
                self._report_version()

    async def _restore_lost_changes(self):
        """Write accepted changes back if the platform no longer has them."""
        version = self.version
        lost_changes = []
        while version > 0:
            change = self._chain.find_change(version)
            if change is None:
                break
            key = configstore.make_change_key(version)
            store_entry = await self._platform.get(key)
            if store_entry.value is not None:
                self._check_stored_change(change, store_entry.value)
                break
            lost_changes.append(change)
            version -= 1
        for change in reversed(lost_changes):
            await self._write_back_change(change)

    async def _write_back_change(self, change):
        key = configstore.make_change_key(change.version)
        try:
            await self._platform.put(key, chain.encode_change(change), 0)
        except exceptions.ConflictError as error:
            self._check_stored_change(change, error.current)
            return
        logger.warning(
            "configuration change missing in the platform; written back",
            extra={"event": "config_restored", "version": change.version},
        )

    def _check_stored_change(self, change, stored):
        """Raise an error if a stored change is not the accepted one.

        Raises
        ------
        exceptions.ConfigurationError
            If the platform has another change of the same version.
        """
        if chain.decode_change(stored).id != change.id:
            raise exceptions.ConfigurationError(
                f"version {change.version} in the platform is not the one"
                " in force; the VMs keep what they accepted"
            )

    async def _fetch_from_other_cells(self):
        """Fetch from other cells that report a higher version."""
        while True:
            await trio.sleep(self._settings.cell.exchange_s)
            if self._membership.reads_platform:
                member = self._directory.find_member_with_newer_config()
                if member is not None:
                    self._start_fetch(member.address)

    def _start_fetch(self, address):
        if not self._is_fetching:
            self._is_fetching = True
            self._nursery.start_soon(self._fetch_changes, address)

    async def _fetch_changes(self, address):
        try:
            message = wire.messages.ConfigQuery(after_version=self.version)
            answer = await self._peers.call(address, message, FETCH_TIMEOUT_S)
            self._apply_answer(answer)
        except exceptions.GeraniumridgeError as error:
            logger.warning(
                "configuration not fetched from another VM",
                extra={"event": "config_fetch_failed", "reason": str(error)},
            )
        finally:
            self._is_fetching = False

    def _apply_answer(self, answer):
        if answer.snapshot:
            snapshot = chain.decode_snapshot(answer.snapshot)
            if self._chain.load_snapshot(snapshot):
                self._report_version()
        for text in answer.changes or []:
            change = chain.decode_change(text)
            if change.version == self.version + 1:
                self.accept_change(change)

    async def _answer_query(self, message):
        changes = self._chain.list_changes_after(message.after_version)
        if changes is None:
            snapshot = chain.encode_snapshot(self._chain.snapshot)
            return wire.messages.ConfigAnswer(
                changes=[], snapshot=snapshot, version=self.version
            )
        return wire.messages.ConfigAnswer(
            changes=[
                chain.encode_change(change)
                for change in changes[:MAX_CHANGES_PER_ANSWER]
            ],
            snapshot="",
            version=self.version,
        )
