"""Queue, slots and connections of a target on its gateway."""

import contextlib

import trio

from geraniumridge._internal.decisions import fairqueue
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from geraniumridge._internal.network import targets

CONTROL_CONNECTIONS = 2
"""Connections that are kept free for the probe and for position waits."""

MAX_MISSED_PROBES = 2
"""Probe intervals without an answer after which new requests are refused.

Requests in progress are cancelled only after `authority.suspect_target_s`,
when the target also counts as silent for the observers of its group.
"""

REFUSAL_ERRORS = {
    "behind": exceptions.TargetBehindError,
    "not-primary": exceptions.MisroutedError,
    "wrong-term": exceptions.MisroutedError,
    "no-transaction": exceptions.NotFoundError,
}
"""Errors for a target's refusals, by the detail of its answer.

Any other refusal is an `exceptions.UnavailableError`.
"""


class _SlotWaiter:
    """Request that waits for a slot."""

    __slots__ = ("granted", "abandoned", "event")

    def __init__(self):
        self.granted = False
        self.abandoned = False
        self.event = trio.Event()


class TargetExecutor:
    """Executor of requests on one target, with its queue and slots.

    Parameters
    ----------
    name : str
        ``group/target``.
    target_entry : models.config.TargetEntry
        The target's configuration.
    settings : models.settings.Settings
        The daemon's settings.
    """

    def __init__(self, name, target_entry, settings):
        self._name = name
        self._target_entry = target_entry
        self._settings = settings
        self._queue = fairqueue.FairQueue(settings.limits.queue_length)
        self._free_slots = target_entry.slots
        # While a target moves to another gateway, the old and the new
        # one may both be connected, so each uses half the limit. The
        # probe and the position waits have a connection each, statements
        # the rest, but at least one: with a limit below 6 both gateways
        # together may exceed it.
        connection_limit = max(
            1, target_entry.connections // 2 - CONTROL_CONNECTIONS
        )
        self._control_pool = targets.TargetPool(target_entry.address, 1)
        self._statement_pool = targets.TargetPool(
            target_entry.address, connection_limit
        )
        self._last_answer_at = trio.current_time()
        self._closed = trio.Event()
        self._request_scopes = set()

    @property
    def target_entry(self):
        """The target's configuration."""
        return self._target_entry

    def is_silent(self, now):
        """Return whether the target has been silent for too long."""
        limit_s = self._settings.authority.suspect_target_s
        return now - self._last_answer_at > limit_s

    def check_answering(self):
        """Refuse a request that a silent target would leave unanswered.

        The request has then certainly not run.

        Raises
        ------
        exceptions.UnavailableError
            If the target has missed too many probes.
        """
        silent_s = trio.current_time() - self._last_answer_at
        if (
            silent_s
            > MAX_MISSED_PROBES * self._settings.authority.probe_every_s
        ):
            raise exceptions.UnavailableError(
                f"{self._name}: no answer for {silent_s:.1f} s"
            )

    def get_state(self):
        """Return the queue, slots and connections for the status page."""
        return {
            "waiting": len(self._queue),
            "free_slots": self._free_slots,
            "connections": self._statement_pool.in_use_count,
            "silent_s": round(trio.current_time() - self._last_answer_at, 3),
        }

    async def acquire_slot(self, team, weight, deadline):
        """Wait for a slot and return the time waited, in seconds.

        Raises
        ------
        exceptions.OverloadedError
            If none was free before the deadline; nothing has run.
        """
        if self._free_slots > 0 and not len(self._queue):
            self._free_slots -= 1
            return 0.0
        began_at = trio.current_time()
        waiter = _SlotWaiter()
        self._queue.push(team, weight, deadline, waiter)
        self._grant_slots()
        try:
            with trio.move_on_at(deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            waiter.abandoned = True
            if waiter.granted:
                self.release_slot()
            raise
        if not waiter.granted:
            waiter.abandoned = True
            raise exceptions.OverloadedError(
                f"{self._name}: no slot was free before the deadline"
            )
        return trio.current_time() - began_at

    def release_slot(self):
        """Release a slot to the next waiter."""
        self._free_slots += 1
        self._grant_slots()

    @contextlib.asynccontextmanager
    async def hold_slot(self, team, weight, deadline):
        """Hold a slot; yield the time waited for it, in seconds."""
        wait_s = await self.acquire_slot(team, weight, deadline)
        try:
            yield wait_s
        finally:
            self.release_slot()

    async def acquire_connection(self):
        """Return a connection that no other request uses.

        Raises
        ------
        exceptions.UnavailableError
            If none can be opened; nothing has run.
        """
        return await self._acquire_from(self._statement_pool)

    async def release_connection(self, connection):
        """Release a connection to the pool."""
        await self._statement_pool.release(connection)

    async def run(self, path, body):
        """Run one request on a connection of the pool."""
        connection = await self.acquire_connection()
        try:
            return await self.run_on_connection(connection, path, body)
        finally:
            await self.release_connection(connection)

    async def run_on_connection(self, connection, path, body):
        """Run one request on a given connection.

        Raises
        ------
        exceptions.RequestError
            If the target refused the request, or if its outcome is
            unknown because no answer came.
        """
        timeout_s = self._settings.limits.request_timeout_s
        try:
            with trio.fail_after(timeout_s) as scope:
                self._request_scopes.add(scope)
                try:
                    answer = await targets.run_request(connection, path, body)
                finally:
                    self._request_scopes.discard(scope)
        except (exceptions.ConnectionLostError, trio.TooSlowError) as error:
            with trio.CancelScope(shield=True):
                await connection.close()
            raise exceptions.OutcomeUnknownError(
                f"{self._name}: no answer: {error}"
            )
        self._last_answer_at = trio.current_time()
        _raise_if_refused(answer)
        return answer

    async def wait_for_position(self, message):
        """Return the target's status once it has reached a log position.

        A target that does not reach it answers after ``wait_ms``.
        """
        body = {
            "request_id": "wait",
            "min_term": message.term,
            "min_position": message.position,
            "wait_ms": message.wait_ms,
        }
        connection = await self._acquire_from(self._control_pool)
        try:
            answer = await self.run_on_connection(connection, "/wait", body)
        finally:
            await self._control_pool.release(connection)
        return targets.read_status(answer)

    async def run_probes(self):
        """Probe the target at intervals until closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_stuck_requests)
            while not self._closed.is_set():
                with contextlib.suppress(
                    exceptions.NetworkError, exceptions.RequestError
                ):
                    await self._probe_on_connection()
                await trio.sleep(self._settings.authority.probe_every_s)
            nursery.cancel_scope.cancel()

    async def _cancel_stuck_requests(self):
        """Cancel the requests in progress once the target is silent."""
        while True:
            await trio.sleep(self._settings.authority.probe_every_s)
            if self.is_silent(trio.current_time()):
                for scope in list(self._request_scopes):
                    scope.cancel()

    async def close(self):
        """Close the idle connections and stop the probes."""
        self._closed.set()
        await self._statement_pool.close()
        await self._control_pool.close()

    async def _probe_on_connection(self):
        connection = await http.open_client(self._target_entry.address)
        try:
            while not self._closed.is_set():
                with trio.fail_after(targets.CONTROL_TIMEOUT_S):
                    await connection.request("POST", "/status", b"{}")
                self._last_answer_at = trio.current_time()
                await trio.sleep(self._settings.authority.probe_every_s)
        except trio.TooSlowError:
            return
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _acquire_from(self, pool):
        try:
            return await pool.acquire()
        except exceptions.NotSentError as error:
            raise exceptions.UnavailableError(str(error))

    def _grant_slots(self):
        now = trio.current_time()
        while self._free_slots > 0:
            waiter = self._queue.pop(now)
            if waiter is None:
                return
            if waiter.abandoned:
                continue
            waiter.granted = True
            self._free_slots -= 1
            waiter.event.set()


def _raise_if_refused(answer):
    if "error" not in answer:
        return
    if answer["error"] == "statement":
        raise exceptions.StatementError(answer["detail"])
    error_class = REFUSAL_ERRORS.get(
        answer["detail"], exceptions.UnavailableError
    )
    raise error_class(f"target refused: {answer['detail']}")
