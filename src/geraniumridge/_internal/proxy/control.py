"""Control connections to all targets of a group."""

import logging

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements

logger = logging.getLogger(__name__)

NAME = "geraniumridge"
"""Whom control connections are opened for."""

ANSWER_TIMEOUT_S = 0.5
"""Bound on one question, connection included."""

SILENT_TIMEOUT_S = 0.15
"""Bound on a question to a target that left the last one unanswered; a
target that is back answers as fast as it ever does."""

BUSY_TRIES = 5
"""Tries of a question that a busy target refuses."""

BUSY_PAUSE_S = 0.02
"""Pause between these."""


PASSING = (
    statements.Outcome.OVERLOADED,
    statements.Outcome.TOO_MANY_CONNECTIONS,
)
"""Refusals after which it is asked again."""


class Control:
    """Asks and orders one target.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        How it is spoken to.
    target : desired.Target
        The target.
    """

    def __init__(self, dialect, target):
        self._dialect = dialect
        self._link = None
        self._is_refused = False
        self._is_silent = False
        self.target = target

    @property
    def is_refused(self):
        """Whether the target answered the last question by refusing."""
        return self._is_refused

    async def inspect(self, timeout_s=None):
        """Return the target's status, None without an answer in time."""
        return await self._ask(self._dialect.fetch_status, timeout_s=timeout_s)

    async def hold(self, term):
        """Stop it from receiving; returns its status or None."""
        return await self._ask(self._dialect.pause_replication, term)

    async def resume(self):
        """Let it receive again; returns its status or None."""
        return await self._ask(self._dialect.resume_replication)

    async def step_down(self, term):
        """Make it a replica; returns its status or None."""
        return await self._ask(self._dialect.step_down, term)

    def close(self):
        """Drop the connection."""
        if self._link is not None:
            self._link.abort()
            self._link = None

    async def _ask(self, question, *arguments, timeout_s=None):
        if timeout_s is None:
            timeout_s = self._get_timeout_s()
        for _ in range(BUSY_TRIES):
            self._is_refused = False
            try:
                with trio.fail_after(timeout_s):
                    answer = await self._ask_once(question, arguments)
                self._is_silent = False
                return answer
            except exceptions.TargetRefusedError as error:
                self._is_refused = True
                self._is_silent = False
                self._note(error)
                if error.outcome not in PASSING:
                    return None
                await trio.sleep(BUSY_PAUSE_S)
            except (exceptions.NetworkError, trio.TooSlowError) as error:
                self._is_silent = True
                self._note(error)
                self.close()
                return None
        return None

    def _get_timeout_s(self):
        return SILENT_TIMEOUT_S if self._is_silent else ANSWER_TIMEOUT_S

    async def _ask_once(self, question, arguments):
        if self._link is None:
            self._link = await self._dialect.open(
                self.target, NAME, ANSWER_TIMEOUT_S
            )
        return await question(self._link, *arguments)

    def _note(self, error):
        logger.info(
            "no answer from target",
            extra={
                "event": "control_failed",
                "target": self.target.id,
                "why": str(error) or type(error).__name__,
            },
        )


async def ask_all(controls, question):
    """Ask several targets at once.

    Parameters
    ----------
    controls : iterable of Control
        The targets.
    question : callable
        Async function of a control.

    Returns
    -------
    dict
        Answers by target id, None where there was none.
    """
    answers = {}

    async def ask(control):
        answers[control.target.id] = await question(control)

    async with trio.open_nursery() as nursery:
        for control in controls:
            nursery.start_soon(ask, control)
    return answers
