"""Follows the operators' configuration.

The leader of a cell follows the platform; its members fetch changes
from it when a heartbeat's answer names a higher version. A cell cut
off from the platform learns through any other cell.
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
FETCH_TIMEOUT_S = 2.0
MAX_CHANGES_PER_ANSWER = 200


@registry.PLUGINS.register("configuration")
class Configuration(kernel.Plugin):
    """Holds the newest accepted configuration."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._chain = chain.ConfigChain()
        self._leader_version = 0
        self._is_fetching = False
        self._accepted_at = trio.current_time()

    @property
    def document(self):
        """The configuration in force on this VM."""
        return self._chain.document

    @property
    def version(self):
        """Its version."""
        return self._chain.version

    @property
    def is_current(self):
        """Whether a version is held, as high as the leader's."""
        return self.version > 0 and self.version >= self._leader_version

    async def start(self, nursery):
        """Start following."""
        self._nursery = nursery
        self._directory = self._kernel.get("directory")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._peers.handle(wire.messages.ConfigQuery, self._answer_query)
        self._membership.add_heartbeat_extension(self)
        nursery.start_soon(self._watch_platform)
        nursery.start_soon(self._fetch_from_other_cells)

    def extend_heartbeat(self, message):
        """Nothing: the directory puts the version on."""

    def read_heartbeat(self, message):
        """Learn of a member with a higher version."""
        if (message.config_version or 0) > self.version:
            self._start_fetch(message.sender.address)

    def extend_answer(self, heartbeat, message):
        """Put the version on the leader's answer."""
        message.config_version = self.version

    def read_answer(self, message, sent_at, address):
        """Fetch from the leader if it is ahead."""
        version = message.config_version or 0
        self._leader_version = max(self._leader_version, version)
        if version > self.version:
            self._start_fetch(address)

    def find_team(self, key_hash):
        """Return the team of a key's hash, None if withdrawn."""
        if not key_hash:
            return config.OPEN_TEAM
        entry = self.document.keys.get(key_hash)
        return entry and entry.team

    def accept_change(self, change):
        """Take the next change and put it in force."""
        problems = self._chain.accept(change)
        for problem in problems:
            logger.error(
                "change ignored",
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
                logger.debug("no configuration", extra={"reason": str(error)})
                await trio.sleep(PLATFORM_RETRY_DELAY_S)
            except exceptions.GeraniumridgeError as error:
                logger.error(
                    "unusable change in the platform",
                    extra={"event": "config_unusable", "reason": str(error)},
                )
                await trio.sleep(PLATFORM_RETRY_DELAY_S)

    async def _await_next_change(self):
        if self.version == 0:
            await self._load_snapshot()
        await self._restore_lost_changes()
        key = configstore.make_change_key(self.version + 1)
        wait_s = self._settings.platform.watch_s
        entry = await self._platform.watch(key, 0, wait_s)
        if entry.value is None:
            return
        change = chain.decode_change(entry.value)
        # A cell may have brought the change while the watch waited.
        if change.version == self.version + 1:
            self.accept_change(change)

    async def _load_snapshot(self):
        entry = await self._platform.get(configstore.SNAPSHOT_KEY)
        if entry.value is not None:
            snapshot = chain.decode_snapshot(entry.value)
            if self._chain.load_snapshot(snapshot):
                self._report_version()

    async def _restore_lost_changes(self):
        """Write accepted changes back that the platform has lost."""
        version = self.version
        lost_changes = []
        while version > 0:
            change = self._chain.find_change(version)
            if change is None:
                break
            key = configstore.make_change_key(version)
            entry = await self._platform.get(key)
            if entry.value is not None:
                self._check_stored_change(change, entry.value)
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
            "platform had lost a change; written back",
            extra={"event": "config_restored", "version": change.version},
        )

    def _check_stored_change(self, change, stored):
        """Report a platform whose chain is not the accepted one."""
        if chain.decode_change(stored).id != change.id:
            raise exceptions.ConfigurationError(
                f"version {change.version} in the platform is not the one"
                " in force; the VMs keep what they accepted"
            )

    async def _fetch_from_other_cells(self):
        """Fetch from another cell whose version is higher."""
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
                "configuration not fetched",
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
