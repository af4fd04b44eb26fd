"""Budget of the bytes and connections that callers may hold.

Load pattern: callers that nobody controls send or leave unread as much as the
protocol allows, on many connections at once. Each connection has an account of
the bytes that the process holds for it. Bytes are taken before they are read;
if the budget has no room, the reader waits, and the connections that hold most
without progress are closed.
"""

import enum
import math
import typing

from geraniumridge._internal import exceptions

MIB = 1_048_576

FREE_BYTES = 4_096
"""Bytes of each kind that a connection holds without taking budget, so that
ordinary statements cost no accounting; the bound on connections covers
them."""

STEP_BYTES = 65_536
"""Amounts are rounded up to this, so that few steps cover a large message."""

MESSAGE_WEIGHT = 4
"""Bytes counted for each byte of a message: the buffer or the line, the
decoded text, the encoded text and the call to a target exist at once."""

ANSWER_WEIGHT = 2
"""Bytes counted for each byte of rows, which are held while they are joined
to what is sent."""

MIN_CONNECTION_BYTES = 5 * MIB
"""Least bound on one connection: a message of 1 MiB at its weight, and the
chunk that is read beyond it."""

DEFAULT_CONNECTION_BYTES = 14 * MIB
"""A message of 1 MiB, an answer with 2 MiB of rows and the session state."""

DEFAULT_STATE_BYTES = 5 * MIB
"""Session values and prepared statements of one session. One of them may have
the length of the largest message; with a character beyond the 16-bit range it
takes four bytes for each."""

DEFAULT_MEMORY_MB = 200.0
"""Memory of the smallest VM, assumed where the settings name none."""

TOTAL_SHARE = 0.25
"""Share of the VM's memory for the bytes that callers hold. Freed memory is
not reused at once, so that the process may grow by twice as much."""

RESERVED_DESCRIPTORS = 200
"""Descriptors of a VM that are not for the proxy."""

CONNECTIONS_SHARE = 0.75
"""Share of the other descriptors for callers; the rest is for targets, the
store and the HTTP ports."""

STALL_S = 0.25
"""Time without progress after which a connection may be closed for room."""

SHED_STATE_BYTES = 65_536
"""Least session state for which a connection without other bytes is closed.
Closing sessions with a few prepared statements frees too little."""

STARTUP_GRACE_S = 0.5
"""Time that a connection has for its STARTUP before a newer one may take its
place."""


class Kind(enum.IntEnum):
    """What the bytes of an account are."""

    RECEIVED = 0
    ANSWER = 1
    STATE = 2


class CallerBounds(typing.NamedTuple):
    """Bounds on bytes and connections; see `proxy_settings.CallerSettings`."""

    total_bytes: int
    connection_bytes: int
    state_bytes: int
    max_connections: int


def derive_bounds(settings, descriptor_limit):
    """Return the `CallerBounds` that follow from settings and the VM.

    Parameters
    ----------
    settings : models.proxy_settings.CallerSettings
        Bounds that are set are taken from it.
    descriptor_limit : int
        Descriptors that the process may open.
    """
    memory_bytes = (settings.memory_mb or DEFAULT_MEMORY_MB) * 1e6
    total_bytes = settings.total_bytes or max(
        MIN_CONNECTION_BYTES, int(memory_bytes * TOTAL_SHARE)
    )
    descriptors = min(settings.max_descriptors or math.inf, descriptor_limit)
    usable = max(0, descriptors - RESERVED_DESCRIPTORS)
    connection_bytes = settings.connection_bytes or min(
        DEFAULT_CONNECTION_BYTES, total_bytes
    )
    max_connections = settings.max_connections
    if max_connections is None and usable < math.inf:
        max_connections = max(1, int(usable * CONNECTIONS_SHARE))
    return CallerBounds(
        total_bytes,
        connection_bytes,
        settings.state_bytes or min(DEFAULT_STATE_BYTES, connection_bytes),
        math.inf if max_connections is None else max_connections,
    )


def round_up(count):
    """Return a number of bytes rounded up to `STEP_BYTES`."""
    return -(-count // STEP_BYTES) * STEP_BYTES


class Account:
    """What the process holds for one connection.

    `is_running` is whether a statement runs, so that the caller is not what
    the connection waits for. `waiting_since` is when it began to wait for
    budget, None if it does not.
    """

    __slots__ = (
        "opened_at",
        "progressed_at",
        "is_running",
        "is_closing",
        "waiting_since",
        "amounts",
        "held",
        "close",
    )

    def __init__(self, now, close):
        self.opened_at = now
        self.progressed_at = now
        self.is_running = False
        self.is_closing = False
        self.waiting_since = None
        self.amounts = [0] * len(Kind)
        self.held = 0
        self.close = close


class CallerBudget:
    """Accounts of all callers' connections.

    Parameters
    ----------
    bounds : CallerBounds
        Bounds on bytes and connections.
    """

    def __init__(self, bounds):
        self.bounds = bounds
        self.total = 0
        self._accounts = set()
        self._unstarted = {}
        self._holders = set()
        self._closing_count = 0

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._accounts)

    def open(self, now, close=None):
        """Open the account of a new connection.

        Parameters
        ----------
        now : float
            Time in seconds.
        close : callable, optional
            Kept as the account's `close`.

        Returns
        -------
        tuple of Account or None and Account or None
            The new account, None at the bound on connections; and the
            account of a connection without a session that has to be closed
            in its place.
        """
        evicted = None
        open_count = len(self._accounts) - self._closing_count
        if open_count >= self.bounds.max_connections:
            evicted = self._find_unstarted(now)
            if evicted is None:
                return None, None
            self._mark_closing(evicted)
        account = Account(now, close)
        self._accounts.add(account)
        self._unstarted[account] = None
        return account, evicted

    def note_started(self, account):
        """Note that a connection has a session."""
        self._unstarted.pop(account, None)

    def close(self, account):
        """Free all that a closed connection held."""
        self._accounts.discard(account)
        self._unstarted.pop(account, None)
        self._holders.discard(account)
        self.total -= account.held
        account.held = 0
        self._closing_count -= account.is_closing

    def try_hold(self, account, kind, count):
        """Set the bytes of a kind that an account holds.

        Returns
        -------
        bool
            False if the budget has no room for more.

        Raises
        ------
        exceptions.CallerBoundError
            If the connection would exceed its own bound.
        """
        added = count - account.amounts[kind]
        if added > 0:
            if account.held + added > self.bounds.connection_bytes:
                raise exceptions.CallerBoundError("connection_bytes")
            if self.total + added > self.bounds.total_bytes:
                return False
        account.amounts[kind] = count
        account.held += added
        self.total += added
        if account.held:
            self._holders.add(account)
        else:
            self._holders.discard(account)
        return True

    def choose_shed(self, now, added, head=None):
        """Return the account whose connection has to be closed, or None.

        It holds most of those that made no progress for `STALL_S` and run
        no statement. What connections that are being closed hold counts as
        free. None is chosen if closing all candidates made too little room.
        Of those that wait for budget themselves, the newest is chosen, once
        there is no other.

        Parameters
        ----------
        now : float
            Time in seconds.
        added : int
            Bytes for which there has to be room.
        head : Account, optional
            The account that needs them; it is not chosen.
        """
        missing = self.total + added - self.bounds.total_bytes
        candidates = []
        for account in self._holders:
            if account.is_closing:
                missing -= account.held
            elif account is not head and _may_be_shed(account, now):
                candidates.append(account)
        if not 0 < missing <= sum(account.held for account in candidates):
            return None
        chosen = max(candidates, key=_rank_for_shedding)
        self._mark_closing(chosen)
        return chosen

    def _find_unstarted(self, now):
        """Return the oldest connection without a session, if it is old."""
        for account in self._unstarted:
            if now - account.opened_at < STARTUP_GRACE_S:
                return None
            if not account.is_closing:
                return account
        return None

    def _mark_closing(self, account):
        account.is_closing = True
        self._closing_count += 1


def _may_be_shed(account, now):
    """Return whether a connection may be closed for room."""
    if account.is_running:
        return False
    if account.waiting_since is not None:
        return now - account.waiting_since >= STALL_S
    if now - account.progressed_at < STALL_S:
        return False
    state_bytes = account.amounts[Kind.STATE]
    return account.held > state_bytes or state_bytes >= SHED_STATE_BYTES


def _rank_for_shedding(account):
    """Return a key that is largest for the connection to close first."""
    if account.waiting_since is not None:
        return False, account.waiting_since, 0
    return True, account.held, -account.progressed_at
