"""Background tasks whose errors do not end the daemon."""

import logging

import trio

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5
"""Delay before a task that failed runs again."""


class Supervisor:
    """Starts tasks in a nursery and logs what they raise.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks.
    """

    def __init__(self, nursery):
        self._nursery = nursery

    def start_soon(self, task, *arguments):
        """Start an async function that runs once."""
        self._nursery.start_soon(self._run_once, task, arguments)

    def keep_running(self, task):
        """Start an async function, and again whenever it has failed."""
        self._nursery.start_soon(self._run_again, task)

    async def _run_again(self, task):
        while not await self._run_once(task, ()):
            await trio.sleep(RESTART_DELAY_S)

    async def _run_once(self, task, arguments):
        """Run a task; return whether it ended without an error."""
        try:
            await task(*arguments)
        except Exception:
            name = getattr(task, "__qualname__", repr(task))
            logger.exception(
                "background task failed",
                extra={"event": "fault", "task": name},
            )
            return False
        return True
