"""Control connections to the targets of a group."""

import logging

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements

logger = logging.getLogger(__name__)

CONTROL_TEAM = "geraniumridge"
"""Team name under which control connections are opened."""

ANSWER_TIMEOUT_S = 0.5
"""Timeout of one request, including a new connection, within one region."""

ROUND_TRIPS = 3
"""Round trips of a request with a new connection: TCP, the session and the
request. Those to another region are added to the timeouts."""

UNANSWERED_TIMEOUT_S = 0.15
"""Timeout of a request to a target that left the last one unanswered; a
target that has recovered answers within the usual time."""

BUSY_ATTEMPTS = 5
"""Attempts at a request that a busy target refuses."""

BUSY_RETRY_DELAY_S = 0.02
"""Pause between these attempts."""

RETRYABLE_OUTCOMES = (
    statements.Outcome.OVERLOADED,
    statements.Outcome.TOO_MANY_CONNECTIONS,
)
"""Refusals after which the request is sent again."""


class ControlConnection:
    """Control connection to one target, opened on demand.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        Protocol of the target.
    target : desired.Target
        The target.
    round_trip_s : float, optional
        Round trip to the target in seconds, 0 within one region.
    """

    def __init__(self, dialect, target, round_trip_s=0.0):
        self._dialect = dialect
        self._added_s = ROUND_TRIPS * round_trip_s
        self._link = None
        self._is_refused = False
        self._was_unanswered = False
        self.target = target

    @property
    def is_refused(self):
        """Whether the target refused the last request."""
        return self._is_refused

    async def inspect(self, timeout_s=None):
        """Return the target's status, None without an answer in time.

        Parameters
        ----------
        timeout_s : float or None
            Bound on the request in seconds, within one region; by default it
            depends on whether the target answered the last one.
        """
        return await self._ask(self._dialect.fetch_status, timeout_s=timeout_s)

    async def pause(self, term):
        """Pause replication to the target; return its status or None.

        `term` is the term for which it is paused.
        """
        return await self._ask(self._dialect.pause_replication, term)

    async def resume(self):
        """Resume replication to the target; return its status or None."""
        return await self._ask(self._dialect.resume_replication)

    async def step_down(self, term):
        """Make a primary a replica; return its status or None."""
        return await self._ask(self._dialect.step_down, term)

    def close(self):
        """Abort the connection, if one is open."""
        if self._link is not None:
            self._link.abort()
            self._link = None

    async def _ask(self, request, *arguments, timeout_s=None):
        if timeout_s is None:
            timeout_s = self._get_timeout_s()
        timeout_s += self._added_s
        for _ in range(BUSY_ATTEMPTS):
            self._is_refused = False
            try:
                with trio.fail_after(timeout_s):
                    answer = await self._ask_once(request, arguments)
                self._was_unanswered = False
                return answer
            except exceptions.TargetRefusedError as error:
                self._is_refused = True
                self._was_unanswered = False
                self._log_failure(error)
                if error.outcome not in RETRYABLE_OUTCOMES:
                    return None
                await trio.sleep(BUSY_RETRY_DELAY_S)
            except (exceptions.NetworkError, trio.TooSlowError) as error:
                self._was_unanswered = True
                self._log_failure(error)
                self.close()
                return None
        return None

    def _get_timeout_s(self):
        return (
            UNANSWERED_TIMEOUT_S if self._was_unanswered else ANSWER_TIMEOUT_S
        )

    async def _ask_once(self, request, arguments):
        if self._link is None:
            self._link = await self._dialect.open(
                self.target, CONTROL_TEAM, ANSWER_TIMEOUT_S + self._added_s
            )
        return await request(self._link, *arguments)

    def _log_failure(self, error):
        logger.info(
            "control request failed",
            extra={
                "event": "control_failed",
                "target": self.target.id,
                "why": str(error) or type(error).__name__,
            },
        )


async def ask_all(connections, request):
    """Send a request to several targets concurrently.

    Parameters
    ----------
    connections : iterable of ControlConnection
        Connections to the targets.
    request : callable
        Async function of a connection.

    Returns
    -------
    dict
        Answers by target id, None where there was none.
    """
    answers = {}

    async def ask(connection):
        answers[connection.target.id] = await request(connection)

    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(ask, connection)
    return answers
