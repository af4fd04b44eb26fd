"""Connections to targets: few, borrowed on demand, given back."""

import logging

import trio

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import rates
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
"""Bound on opening a connection; a lost opening packet is sent again
only after a second."""

KEEP_SHARE = 0.85
"""Part of a target's connections that all VMs together may keep idle."""

SPARE = 1
"""Connections that a VM may open beyond its equal part; the target
refuses those that all VMs together open too many."""

IDLE_S = 20.0
"""Idle connections are closed after this long."""

LIMIT_PAUSE_S = 0.03
"""Pause after a target refused a further connection."""


class PooledLink:
    """A connection with the session state that was replayed on it.

    Parameters
    ----------
    link : ports.targets.Link
        The connection.
    target : desired.Target
        Where it leads.
    team : str
        Whom it was opened for.
    """

    def __init__(self, link, target, team):
        self.link = link
        self.target = target
        self.team = team
        self.values = {}
        self.prepared = {}
        self.idle_since = 0.0


class TargetPool:
    """Connections to one target.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        How it is spoken to.
    """

    def __init__(self, dialect):
        self._dialect = dialect
        self._idle = []
        self._busy = set()
        self._opening = 0
        self._freed = trio.Event()
        self._keep = 1
        self._most = 1
        self.load = load.TargetLoad()
        self.warmup = rates.Bucket(clock.now())

    @property
    def size(self):
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + self._opening

    def has_idle(self, team):
        """Tell whether a connection of a team is at hand."""
        return any(pooled.team == team for pooled in self._idle)

    def set_limits(self, max_connections, members):
        """Derive the own part of a target's connections."""
        share = max_connections / max(1, members)
        self._keep = max(1, round(KEEP_SHARE * share))
        self._most = max(1, int(share)) + SPARE

    async def borrow(self, target, team):
        """Return a connection of a team; the caller bounds the time.

        Raises
        ------
        exceptions.NetworkError
            If the target is not there or refused.
        """
        while True:
            found = self._take_idle(target, team)
            if found is not None:
                return found
            if self.size < self._most or self._drop_idle():
                return await self._open(target, team)
            await self._freed.wait()

    def give_back(self, pooled):
        """Return a connection that is in no transaction."""
        self._busy.discard(pooled)
        if not pooled.link.is_open:
            pooled.link.abort()
        else:
            pooled.idle_since = clock.now()
            self._idle.append(pooled)
            if len(self._idle) + len(self._busy) > self._keep:
                self._drop_idle()
        self._wake()

    def discard(self, pooled):
        """Drop a connection whose state is in doubt."""
        self._busy.discard(pooled)
        pooled.link.abort()
        self._wake()

    def abort_busy(self):
        """Drop all connections in use; their calls end with an error."""
        for pooled in list(self._busy):
            pooled.link.abort()

    def close_idle(self, now=None):
        """Close connections idle for long, or all without a time."""
        for pooled in list(self._idle):
            if now is None or now - pooled.idle_since > IDLE_S:
                self._idle.remove(pooled)
                pooled.link.abort()

    def _take_idle(self, target, team):
        for pooled in list(self._idle):
            if not pooled.link.is_open or pooled.target.born_ms != (
                target.born_ms
            ):
                self._idle.remove(pooled)
                pooled.link.abort()
        for pooled in reversed(self._idle):
            if pooled.team == team:
                self._idle.remove(pooled)
                self._busy.add(pooled)
                return pooled
        return None

    def _drop_idle(self):
        if not self._idle:
            return False
        self._idle.pop(0).link.abort()
        return True

    async def _open(self, target, team):
        self._opening += 1
        started = clock.now()
        self.load.note_attempt(started)
        call = self.load.begin(started)
        try:
            link = await self._dialect.open(target, team, CONNECT_TIMEOUT_S)
        except exceptions.TargetRefusedError as error:
            self.load.note_answer(clock.now())
            if error.outcome is statements.Outcome.TOO_MANY_CONNECTIONS:
                await trio.sleep(LIMIT_PAUSE_S)
            raise exceptions.NotSentError(str(error))
        except exceptions.NetworkError:
            self.load.note_failure(clock.now(), started)
            raise
        except trio.Cancelled:
            # Whoever waited gave up; that the target is silent stays known.
            self.load.note_abandoned(clock.now(), started)
            raise
        finally:
            self.load.end(call, clock.now(), is_answered=False)
            self._opening -= 1
            self._wake()
        pooled = PooledLink(link, target, team)
        self._busy.add(pooled)
        return pooled

    def _wake(self):
        self._freed.set()
        self._freed = trio.Event()


class Pools:
    """The pools of all targets.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        How targets are spoken to.
    """

    def __init__(self, dialect):
        self._dialect = dialect
        self._pools = {}

    @property
    def size(self):
        """Connections to all targets."""
        return sum(pool.size for pool in self._pools.values())

    def get(self, target_id):
        """Return the pool of a target."""
        pool = self._pools.get(target_id)
        if pool is None:
            pool = TargetPool(self._dialect)
            self._pools[target_id] = pool
        return pool

    def set_limits(self, view):
        """Derive the own part of each target's connections."""
        members = len(view.members)
        plans = view.state.groups if view.state else {}
        for target in view.targets.values():
            plan = plans.get(target.group)
            if plan is not None:
                pool = self.get(target.id)
                pool.set_limits(plan.max_connections, members)

    def close_unused(self, view, now):
        """Close connections idle for long, or to targets that are gone."""
        for target_id, pool in list(self._pools.items()):
            pool.close_idle(now)
            if target_id not in view.targets:
                pool.close_idle()
                if pool.size == 0:
                    del self._pools[target_id]

    def close_idle(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()
