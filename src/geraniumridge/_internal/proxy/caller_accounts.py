"""Waiting for the budget of callers, and closing of their connections."""

import resource

import trio

from geraniumridge._internal.decisions import caller_budget

Kind = caller_budget.Kind


class CallerAccounts:
    """Accounts of callers' connections, for the tasks that serve them.

    Parameters
    ----------
    settings : models.proxy_settings.CallerSettings
        Bounds.
    metrics : utils.metrics.MetricsRegistry
        Counts the connections that are refused or closed, by reason.
    """

    def __init__(self, settings, metrics):
        descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        bounds = caller_budget.derive_bounds(settings, descriptor_limit)
        self.settings = settings
        self.budget = caller_budget.CallerBudget(bounds)
        self._metrics = metrics
        # Readers wait for room in turn, so that one release wakes one task.
        self._turn = trio.Lock()
        self._freed = trio.Event()

    def open(self, close):
        """Return the account of a new connection, None at the bound.

        Parameters
        ----------
        close : callable
            Called without arguments to close the connection.
        """
        account, evicted = self.budget.open(trio.current_time(), close)
        if evicted is not None:
            self._close(evicted, "startup_replaced")
        if account is None:
            self.count_closed("max_connections")
        return account

    def close(self, account):
        """Free all that a connection held."""
        had_bytes = account.held > 0
        self.budget.close(account)
        if had_bytes:
            self._freed.set()

    def note_progress(self, account):
        """Note that a caller sent or accepted a part of a message."""
        account.progressed_at = trio.current_time()

    def count_closed(self, reason):
        """Count a connection that is refused or closed for a bound."""
        self._metrics.count(f"caller_connections_closed:{reason}")

    async def hold(self, account, kind, count):
        """Hold bytes of a kind; wait until the budget has room for them.

        Fewer bytes than before are held at once, without waiting in turn.

        Raises
        ------
        exceptions.CallerBoundError
            If the connection would exceed its own bound.
        """
        if count <= account.amounts[kind]:
            self.release(account, kind, count)
            return
        if not self._turn.locked() and self.budget.try_hold(
            account, kind, count
        ):
            return
        self._metrics.count("caller_budget_waits")
        account.waiting_since = trio.current_time()
        try:
            await self._wait_for_room(account, kind, count)
        finally:
            account.waiting_since = None
            # The caller could make no progress meanwhile.
            self.note_progress(account)

    async def _wait_for_room(self, account, kind, count):
        """Hold bytes when it is the account's turn and there is room."""
        async with self._turn:
            # Bytes that others free do not restart the time, as too few of
            # them, freed often, would postpone closing for ever.
            shed_at = trio.current_time() + caller_budget.STALL_S
            while not self.budget.try_hold(account, kind, count):
                if not await self._wait_freed(shed_at):
                    self._shed(account, count - account.amounts[kind])
                    shed_at = trio.current_time() + caller_budget.STALL_S

    def release(self, account, kind, count=0):
        """Reduce the bytes of a kind to a number."""
        if account.amounts[kind] > count:
            self.budget.try_hold(account, kind, count)
            self._freed.set()

    async def _wait_freed(self, deadline):
        """Wait until bytes are freed; return False if the time has passed."""
        self._freed = trio.Event()
        with trio.move_on_at(deadline) as scope:
            await self._freed.wait()
        return not scope.cancelled_caught

    def _shed(self, head, added):
        """Close a connection to make room for bytes of an account."""
        chosen = self.budget.choose_shed(trio.current_time(), added, head)
        if chosen is not None:
            self._close(chosen, "total_bytes")

    def _close(self, account, reason):
        self.count_closed(reason)
        account.close()
