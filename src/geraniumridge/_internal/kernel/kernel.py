"""The kernel, which builds, starts and stops the plug-ins in order."""

import logging
import signal

import trio

from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import streams

logger = logging.getLogger(__name__)


class Plugin:
    """Base class of the daemon's plug-ins.

    A plug-in can get the others from the kernel once all of them are
    built, that is from `start` on.

    Parameters
    ----------
    daemon_kernel : Kernel
        Kernel that runs the plug-in.
    """

    def __init__(self, daemon_kernel):
        self._kernel = daemon_kernel
        self._settings = daemon_kernel.settings

    async def start(self, nursery):
        """Open the plug-in's resources and start its tasks."""

    async def drain(self):
        """Finish the work in progress during a graceful stop."""


class Kernel:
    """Life cycle of one daemon.

    Parameters
    ----------
    settings : models.settings.Settings
        The daemon's settings.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stopping = trio.Event()
        self._started = False
        self._plugins = {
            name: plugin_class(self)
            for name, plugin_class in registry.PLUGINS.items()
        }

    @property
    def settings(self):
        """The daemon's settings."""
        return self._settings

    @property
    def is_stopping(self):
        """Whether a graceful stop has begun."""
        return self._stopping.is_set()

    @property
    def is_started(self):
        """Whether every plug-in has started."""
        return self._started

    def get(self, name):
        """Return the plug-in with the given name."""
        return self._plugins[name]

    def stop(self):
        """Begin a graceful stop."""
        self._stopping.set()

    async def run(self):
        """Run the plug-ins until a graceful stop is complete."""
        streams.set_source_host(self._settings.listen.source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signals)
            for plugin in self._plugins.values():
                await plugin.start(nursery)
            self._started = True
            logger.info("started", extra={"event": "started"})
            await self._stopping.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        logger.info("stopped", extra={"event": "stopped"})

    async def _drain(self):
        logger.info("stopping", extra={"event": "stopping"})
        with trio.move_on_after(self._settings.limits.stop_grace_s) as scope:
            for plugin in reversed(self._plugins.values()):
                await plugin.drain()
        if scope.cancelled_caught:
            logger.warning(
                "grace period ended with work in progress",
                extra={"event": "stop_timeout"},
            )

    async def _watch_signals(self):
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self.stop()
