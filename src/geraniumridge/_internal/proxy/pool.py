"""Connection pools, one for each target.

A target allows few connections, and all VMs share them, so a connection
is acquired for a statement or transaction and released after it. In a large
fleet it is borrowed from another VM (see `proxy.lending`).
"""

import logging
import sys

import trio

from geraniumridge._internal.decisions import connection_lending
from geraniumridge._internal.decisions import connection_share
from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import metrics

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Timeout of opening a connection within one region. A lost TCP SYN is sent
again only after a second, so a new attempt is faster, and a read may then
still be in time at another target."""

IDLE_TIMEOUT_S = 20.0
"""Time after which an idle connection is closed."""

SILENT_TARGET_S = 0.4
"""Time without an answer after which no statement waits any longer for a
connection to a target; few calls take as long."""

SILENCE_CHECK_INTERVAL_S = 0.1
"""Interval at which waiting statements check whether the target answers."""

CONNECTION_LIMIT_PAUSE_S = 0.03
"""Pause after a target refused a connection because its limit was
reached."""

MAX_POOLED_STATE_BYTES = 131_072
"""Session values and prepared statements on a connection above which it is
closed on release. They stay after their session has ended, until the next one
that uses the connection replaces them."""


class PooledConnection:
    """A connection with the session state that was restored on it.

    Parameters
    ----------
    link : ports.targets.Link
        The connection.
    target : desired.Target
        The target that it leads to.
    team : str
        The team that it was opened for.
    """

    def __init__(self, link, target, team):
        self.link = link
        self.target = target
        self.team = team
        self.values = {}
        self.prepared = {}
        self.state_bytes = 0
        self.idle_since = 0.0

    def clear_state(self):
        """Note that the target dropped the session state."""
        self.values.clear()
        self.prepared.clear()
        self.state_bytes = 0

    def note_value(self, name, value):
        """Note a session value that the target gets."""
        self._note(self.values, name, value)

    def note_prepared(self, name, definition):
        """Note a prepared statement that the target gets."""
        self._note(self.prepared, name, definition)

    def _note(self, texts, name, text):
        former = texts.get(name, "")
        texts[name] = text
        self.state_bytes += sys.getsizeof(text) - sys.getsizeof(former)
        if not former:
            self.state_bytes += sys.getsizeof(name)


class ConnectionPool:
    """Pool of connections to one target.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        Protocol of the target.
    distances : decisions.distance.estimates.Distances, optional
        Learns how long connections to other regions take to open, and
        extends their time limit.
    borrower : proxy.lending.borrower.Borrower, optional
        Borrows connections from other VMs.
    registry : utils.metrics.MetricsRegistry, optional
        Counts the connections that are closed for their session state.
    """

    def __init__(self, dialect, distances=None, borrower=None, registry=None):
        self._dialect = dialect
        self._distances = distances
        self._borrower = borrower
        self._metrics = registry or metrics.MetricsRegistry()
        self._idle = []
        self._busy = set()
        self._borrowed = set()
        self._borrowing = 0
        self._opening = 0
        self._capacity_freed = trio.Event()
        self._limits = connection_share.PoolLimits(1, 1)
        self._full_target = connection_share.FullTarget()
        self.load = load.TargetLoad()
        self.warmup = token_bucket.Bucket(clock.now())

    @property
    def size(self):
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + self._opening

    @property
    def idle_count(self):
        """Number of open connections that no statement uses."""
        return len(self._idle)

    @property
    def borrowed_count(self):
        """Number of connections that other VMs have lent to this one."""
        return len(self._borrowed)

    @property
    def is_unused(self):
        """Whether no connection is open, being opened or borrowed."""
        return not (self.size or self._borrowed or self._borrowing)

    def has_idle_connection(self, team):
        """Return whether an idle connection of a team is available."""
        return any(connection.team == team for connection in self._idle)

    def set_limits(self, limits):
        """Set the pool's limits; close idle connections beyond them.

        Parameters
        ----------
        limits : connection_share.PoolLimits
            The VM's share of the target's connection limit.
        """
        self._limits = limits
        while self._has_too_many_open() and self._close_oldest_idle():
            pass

    async def acquire(self, target, team, may_borrow=True):
        """Return a connection of a team; wait until one is available.

        The caller sets a deadline. `may_borrow` is whether the connection
        may be one of another VM.

        Raises
        ------
        exceptions.NetworkError
            If the target cannot be reached or refuses the connection, or if
            all connections are in use and it leaves their calls unanswered.
        """
        has_been_refused = False
        while True:
            found = self._take_idle_connection(target, team)
            if found is not None:
                return found
            if may_borrow and self._borrower is not None:
                found = await self._borrow(target, team)
                if found is not None:
                    return found
                may_borrow = False
            if self._may_add_connection() or self._close_oldest_idle():
                try:
                    return await self._open_connection(target, team)
                except exceptions.ConnectionLimitError:
                    if has_been_refused or not self._idle:
                        raise
                    # One of the idle ones makes room.
                    has_been_refused = True
                    continue
            if self._is_target_silent():
                raise exceptions.NotSentError(
                    f"{target.id}: silent, and no connection is free"
                )
            with trio.move_on_after(SILENCE_CHECK_INTERVAL_S):
                await self._capacity_freed.wait()

    def release(self, connection):
        """Put back a connection on which no transaction is open."""
        if connection in self._borrowed:
            self._give_back(connection)
            return
        self._busy.discard(connection)
        if not connection.link.is_open:
            connection.link.abort()
        elif connection.state_bytes > MAX_POOLED_STATE_BYTES:
            self._metrics.count("target_connections_closed:state_bytes")
            connection.link.abort()
        else:
            connection.idle_since = clock.now()
            self._idle.append(connection)
            if self._has_too_many_open():
                self._close_oldest_idle()
        self._notify_waiters()

    def discard(self, connection):
        """Close a connection whose state is unknown."""
        if connection in self._borrowed:
            self._borrowed.discard(connection)
            self._borrower.discard(connection.link)
            return
        self._busy.discard(connection)
        connection.link.abort()
        self._notify_waiters()

    def abort_busy(self):
        """Abort all connections in use; their calls fail."""
        for connection in (*self._busy, *self._borrowed):
            connection.link.abort()

    def close_idle(self, now=None):
        """Close connections past `IDLE_TIMEOUT_S`, or all idle ones.

        Parameters
        ----------
        now : float, optional
            Clock time, in seconds; without it all idle connections are
            closed.
        """
        for connection in list(self._idle):
            if now is None or now - connection.idle_since > IDLE_TIMEOUT_S:
                self._idle.remove(connection)
                connection.link.abort()

    def _is_target_silent(self):
        """Return whether calls have been unanswered for too long.

        A call must be old too: the last answer may be, without any call
        since.
        """
        now = clock.now()
        is_silent = self.load.get_silent_s(now) >= SILENT_TARGET_S
        return is_silent and self.load.is_stalled(now)

    def _take_idle_connection(self, target, team):
        for connection in list(self._idle):
            if (
                not connection.link.is_open
                or connection.target.started_ms != (target.started_ms)
            ):
                self._idle.remove(connection)
                connection.link.abort()
        for connection in reversed(self._idle):
            if connection.team == team:
                self._idle.remove(connection)
                self._busy.add(connection)
                return connection
        return None

    def _may_add_connection(self):
        max_open = self._full_target.get_max_open(
            self._limits.max_open, clock.now()
        )
        return self.size < max_open

    def _has_too_many_open(self):
        open_count = len(self._idle) + len(self._busy)
        return open_count > self._limits.max_kept_open

    def _close_oldest_idle(self):
        if not self._idle:
            return False
        self._idle.pop(0).link.abort()
        return True

    async def _borrow(self, target, team):
        """Return a connection of another VM, None if there is no lender."""
        self._borrowing += 1
        try:
            loan = await self._borrower.borrow(target, team)
        except exceptions.TargetRefusedError as error:
            if error.outcome is statements.Outcome.TOO_MANY_CONNECTIONS:
                raise exceptions.ConnectionLimitError(str(error))
            raise exceptions.NotSentError(str(error))
        finally:
            self._borrowing -= 1
        if loan is None:
            return None
        link, values, prepared = loan
        connection = PooledConnection(link, target, team)
        connection.values = values
        connection.prepared = prepared
        self._borrowed.add(connection)
        return connection

    def _give_back(self, connection):
        self._borrowed.discard(connection)
        if connection.link.is_open:
            self._borrower.give_back(
                connection.link, connection.values, connection.prepared
            )
        else:
            self._borrower.discard(connection.link)

    async def _open_connection(self, target, team):
        self._opening += 1
        started_at = clock.now()
        self.load.note_attempt(started_at)
        call = self.load.begin(started_at)
        try:
            timeout_s = CONNECT_TIMEOUT_S
            if self._distances is not None:
                timeout_s = self._distances.get_connect_timeout_s(
                    target.domain, CONNECT_TIMEOUT_S
                )
            link = await self._dialect.open(target, team, timeout_s)
        except exceptions.TargetRefusedError as error:
            self.load.note_answer(clock.now())
            if error.outcome is statements.Outcome.TOO_MANY_CONNECTIONS:
                self._log_connection_limit(target)
                open_count = len(self._idle) + len(self._busy)
                self._full_target.note_refused(open_count, clock.now())
                if not self._idle:
                    await trio.sleep(CONNECTION_LIMIT_PAUSE_S)
                raise exceptions.ConnectionLimitError(str(error))
            raise exceptions.NotSentError(str(error))
        except exceptions.NetworkError:
            self.load.note_failure(clock.now(), started_at)
            raise
        except trio.Cancelled:
            # The waiting statement was cancelled before the connection was
            # open. The pool still records how long the target left it waiting.
            self.load.note_abandoned(clock.now(), started_at)
            raise
        finally:
            self.load.end(call, clock.now(), is_answered=False)
            self._opening -= 1
            self._notify_waiters()
        if self._distances is not None:
            now = clock.now()
            self._distances.note_connect(target.domain, now - started_at, now)
        connection = PooledConnection(link, target, team)
        self._busy.add(connection)
        return connection

    def _log_connection_limit(self, target):
        logger.info(
            "target refused a connection at its limit",
            extra={
                "event": "connection_limit",
                "target": target.id,
                "idle": len(self._idle),
                "busy": len(self._busy),
            },
        )

    def _notify_waiters(self):
        self._capacity_freed.set()
        self._capacity_freed = trio.Event()


class ConnectionPools:
    """Connection pools of all targets.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        Protocol of the targets.
    distances : decisions.distance.estimates.Distances, optional
        Round trips to the targets' failure domains.
    registry : utils.metrics.MetricsRegistry, optional
        See `ConnectionPool`.
    """

    def __init__(self, dialect, distances=None, registry=None):
        self._dialect = dialect
        self._distances = distances
        self._metrics = registry or metrics.MetricsRegistry()
        self._borrower = None
        self._pools = {}

    @property
    def borrowed_count(self):
        """Number of connections that other VMs have lent to this one."""
        return sum(pool.borrowed_count for pool in self._pools.values())

    @property
    def size(self):
        """Number of connections to all targets."""
        return sum(pool.size for pool in self._pools.values())

    @property
    def idle_count(self):
        """Number of connections to all targets that no statement uses."""
        return sum(pool.idle_count for pool in self._pools.values())

    def get(self, target_id):
        """Return the pool of a target; create it on first use."""
        pool = self._pools.get(target_id)
        if pool is None:
            pool = ConnectionPool(
                self._dialect, self._distances, self._borrower, self._metrics
            )
            self._pools[target_id] = pool
        return pool

    def set_borrower(self, borrower):
        """Let pools that are created from now on borrow connections."""
        self._borrower = borrower

    def find(self, target_id):
        """Return the pool of a target, None if it has not been used."""
        return self._pools.get(target_id)

    def items(self):
        """Return pairs of the id of a target and its pool."""
        return self._pools.items()

    def set_limits(self, view, vm):
        """Set a VM's share of each target's connection limit."""
        member_index = connection_share.find_index(vm, view.members)
        group_settings = view.state.groups if view.state else {}
        for target in view.targets.values():
            settings = group_settings.get(target.group)
            if settings is None:
                continue
            limits = connection_share.compute_limits(
                settings.max_connections, target.id, member_index
            )
            limits = self._adapt_to_lending(target, settings, limits, vm)
            self.get(target.id).set_limits(limits)

    def _adapt_to_lending(self, target, settings, limits, vm):
        """Return a VM's limits for a target whose connections may be lent."""
        lenders = self._borrower.find_lenders(target) if self._borrower else ()
        if vm in lenders:
            return connection_lending.compute_lender_limits(
                settings.max_connections, len(lenders)
            )
        if lenders:
            return connection_lending.compute_borrower_limits(limits)
        return limits

    def close_unused(self, view, now):
        """Close idle connections that are old or lead to removed targets."""
        for target_id, pool in list(self._pools.items()):
            pool.close_idle(now)
            if target_id not in view.targets:
                pool.close_idle()
                if pool.is_unused:
                    del self._pools[target_id]

    def close_idle(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()
