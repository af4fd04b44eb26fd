"""One target as its gateway sees it: queue, slots, connections."""

import contextlib

import trio

from geraniumridge._internal.decisions import fairqueue
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from geraniumridge._internal.network import targets

CONTROL_CONNECTIONS = 2
MISSED_PROBES = 2

REASONS = {
    "behind": exceptions.TargetBehindError,
    "not-primary": exceptions.MisroutedError,
    "wrong-term": exceptions.MisroutedError,
    "no-transaction": exceptions.NotFoundError,
}


class _Waiter:
    """A request that waits for a slot."""

    __slots__ = ("granted", "abandoned", "event")

    def __init__(self):
        self.granted = False
        self.abandoned = False
        self.event = trio.Event()


class TargetGate:
    """Admits requests to one target and runs them.

    Parameters
    ----------
    name : str
        ``group/target``.
    entry : models.config.TargetEntry
        The target's configuration.
    settings : models.settings.Settings
        The daemon's settings.
    """

    def __init__(self, name, entry, settings):
        self._name = name
        self._entry = entry
        self._settings = settings
        self._queue = fairqueue.FairQueue(settings.limits.queue_length)
        self._free_slots = entry.slots
        # Half the limit, so that two generations of gateway fit; probe
        # and waits for marks have a connection each.
        limit = max(1, entry.connections // 2 - CONTROL_CONNECTIONS)
        self._control = targets.TargetPool(entry.address, 1)
        self._pool = targets.TargetPool(entry.address, limit)
        self._answered_at = trio.current_time()
        self._closed = trio.Event()
        self._scopes = set()

    @property
    def entry(self):
        """The target's configuration."""
        return self._entry

    def is_down(self, now):
        """Tell whether the target has not answered for too long."""
        limit = self._settings.authority.suspect_target_s
        return now - self._answered_at > limit

    def check_answering(self):
        """Refuse, as not run, what a silent target would not answer.

        Raises
        ------
        exceptions.UnavailableError
            If the target has missed its probes.
        """
        silent_s = trio.current_time() - self._answered_at
        if silent_s > MISSED_PROBES * self._settings.authority.probe_every_s:
            raise exceptions.UnavailableError(
                f"{self._name}: no answer for {silent_s:.1f} s"
            )

    def get_state(self):
        """Return queue and pool sizes for the status page."""
        return {
            "waiting": len(self._queue),
            "free_slots": self._free_slots,
            "connections": self._pool.in_use_count,
            "silent_s": round(trio.current_time() - self._answered_at, 3),
        }

    async def enter(self, team, weight, deadline):
        """Wait for a slot and return the time waited, in seconds.

        Raises
        ------
        exceptions.OverloadedError
            If none was free before the deadline; nothing was run.
        """
        if self._free_slots > 0 and not len(self._queue):
            self._free_slots -= 1
            return 0.0
        began_at = trio.current_time()
        waiter = _Waiter()
        self._queue.push(team, weight, deadline, waiter)
        self._grant_slots()
        try:
            with trio.move_on_at(deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            waiter.abandoned = True
            if waiter.granted:
                self.leave()
            raise
        if not waiter.granted:
            waiter.abandoned = True
            raise exceptions.OverloadedError(
                f"{self._name}: no slot was free before the deadline"
            )
        return trio.current_time() - began_at

    def leave(self):
        """Give a slot back."""
        self._free_slots += 1
        self._grant_slots()

    @contextlib.asynccontextmanager
    async def slot(self, team, weight, deadline):
        """Hold a slot; yields the time waited for it, in seconds."""
        wait_s = await self.enter(team, weight, deadline)
        try:
            yield wait_s
        finally:
            self.leave()

    async def acquire(self):
        """Take a connection; not being able to is "not run"."""
        return await self._acquire(self._pool)

    async def release(self, client):
        """Give a connection back."""
        await self._pool.release(client)

    async def run(self, path, body):
        """Run one request on any connection."""
        client = await self.acquire()
        try:
            return await self.run_on(client, path, body)
        finally:
            await self.release(client)

    async def run_on(self, client, path, body):
        """Run one request on a given connection.

        Raises
        ------
        exceptions.RequestError
            The target's refusal, or an unknown outcome.
        """
        timeout_s = self._settings.limits.request_timeout_s
        try:
            with trio.fail_after(timeout_s) as scope:
                self._scopes.add(scope)
                try:
                    answer = await targets.run_request(client, path, body)
                finally:
                    self._scopes.discard(scope)
        except (exceptions.ConnectionLostError, trio.TooSlowError) as error:
            with trio.CancelScope(shield=True):
                await client.close()
            raise exceptions.OutcomeUnknownError(
                f"{self._name}: no answer: {error}"
            )
        self._answered_at = trio.current_time()
        _raise_refusal(answer)
        return answer

    async def wait_mark(self, message):
        """Return the target's status once it has reached a mark."""
        body = {
            "request_id": "wait",
            "min_term": message.term,
            "min_position": message.position,
            "wait_ms": message.wait_ms,
        }
        client = await self._acquire(self._control)
        try:
            answer = await self.run_on(client, "/wait", body)
        finally:
            await self._control.release(client)
        return targets.read_status(answer)

    async def run_probe(self):
        """Ask the target for its state at intervals, until closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            while not self._closed.is_set():
                with contextlib.suppress(
                    exceptions.NetworkError, exceptions.RequestError
                ):
                    await self._probe_on_connection()
                await trio.sleep(self._settings.authority.probe_every_s)
            nursery.cancel_scope.cancel()

    async def _watch_silence(self):
        """Give up the requests that a silent target holds."""
        while True:
            await trio.sleep(self._settings.authority.probe_every_s)
            if self.is_down(trio.current_time()):
                for scope in list(self._scopes):
                    scope.cancel()

    async def close(self):
        """Close the idle connections and stop the probe."""
        self._closed.set()
        await self._pool.close()
        await self._control.close()

    async def _probe_on_connection(self):
        client = await http.open_client(self._entry.address)
        try:
            while not self._closed.is_set():
                with trio.fail_after(targets.CONTROL_TIMEOUT_S):
                    await client.request("POST", "/status", b"{}")
                self._answered_at = trio.current_time()
                await trio.sleep(self._settings.authority.probe_every_s)
        except trio.TooSlowError:
            return
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    async def _acquire(self, pool):
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


def _raise_refusal(answer):
    if "error" not in answer:
        return
    if answer["error"] == "statement":
        raise exceptions.StatementError(answer["detail"])
    kind = REASONS.get(answer["detail"], exceptions.UnavailableError)
    raise kind(f"target refused: {answer['detail']}")
