"""Follows the operators' configuration."""

import logging

import trio

from geraniumridge._internal.decisions import chain
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore
from geraniumridge._internal.network import platform

logger = logging.getLogger(__name__)

RETRY_S = 0.5


@registry.PLUGINS.register("configuration")
class Configuration(kernel.Plugin):
    """Holds the newest accepted configuration."""

    def __init__(self, owner):
        super().__init__(owner)
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._chain = chain.ConfigChain()

    @property
    def document(self):
        """The configuration in force on this VM."""
        return self._chain.document

    @property
    def version(self):
        """Its version."""
        return self._chain.version

    async def start(self, nursery):
        """Start following the platform."""
        nursery.start_soon(self._follow)

    def find_team(self, key_hash):
        """Return the team of a key's hash, None if withdrawn."""
        if not key_hash:
            return config.OPEN_TEAM
        entry = self.document.keys.get(key_hash)
        return entry and entry.team

    async def _follow(self):
        while True:
            try:
                await self._take_next()
            except exceptions.PlatformError as error:
                logger.debug("no configuration", extra={"reason": str(error)})
                await trio.sleep(RETRY_S)
            except exceptions.GeraniumridgeError as error:
                logger.error(
                    "unusable change in the platform",
                    extra={"event": "config_unusable", "reason": str(error)},
                )
                await trio.sleep(RETRY_S)

    async def _take_next(self):
        if self.version == 0:
            entry = await self._platform.get(configstore.SNAPSHOT_KEY)
            if entry.value is not None:
                self._chain.load_snapshot(chain.decode_snapshot(entry.value))
        key = configstore.make_change_key(self.version + 1)
        wait_s = self._settings.platform.watch_s
        entry = await self._platform.watch(key, 0, wait_s)
        if entry.value is not None:
            self.accept(chain.decode_change(entry.value))

    def accept(self, change):
        """Take the next change and put it in force."""
        problems = self._chain.accept(change)
        for problem in problems:
            logger.error(
                "change ignored",
                extra={"version": change.version, "problem": problem},
            )
        logger.info(
            "configuration in force",
            extra={"event": "config_version", "version": change.version},
        )
        self._kernel.get("metrics").set_gauge("config_version", self.version)
