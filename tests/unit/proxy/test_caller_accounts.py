"""Waiting for the budget of callers and closing of their connections."""

import functools

import pytest
import trio
import trio.testing

from geraniumridge._internal.decisions import caller_budget
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import caller_accounts
from geraniumridge._internal.utils import metrics

Kind = caller_budget.Kind
MIB = caller_budget.MIB
STALL_S = caller_budget.STALL_S
SETTINGS = proxy_settings.CallerSettings(
    total_bytes=8 * MIB, connection_bytes=8 * MIB, max_connections=100
)


class Callers:
    """Accounts, and the connections that were closed for room."""

    def __init__(self):
        self.closed = []
        self.accounts = caller_accounts.CallerAccounts(
            SETTINGS, metrics.MetricsRegistry()
        )

    def open(self, name, closes_at_once=True):
        """Return the account of a new connection with a session."""

        def close():
            self.closed.append(name)
            if closes_at_once:
                self.accounts.close(account)

        account = self.accounts.open(close)
        self.accounts.budget.note_started(account)
        return account


@pytest.fixture
def run():
    """Run an async function with a clock that jumps."""
    return functools.partial(
        trio.run, clock=trio.testing.MockClock(autojump_threshold=0)
    )


def test_connections_that_end_do_not_postpone_closing(run):
    """Each ended connection restarted the time: the head waited for ever."""

    async def end_connections(callers):
        while True:
            await trio.sleep(0.1)
            callers.accounts.close(callers.open("ordinary"))

    async def end_small_holders(callers):
        while True:
            await trio.sleep(0.1)
            account = callers.open("small")
            callers.accounts.budget.try_hold(account, Kind.RECEIVED, 1)
            callers.accounts.close(account)

    async def main(end):
        callers = Callers()
        large = callers.open("large")
        await callers.accounts.hold(large, Kind.RECEIVED, 8 * MIB - 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end, callers)
            with trio.fail_after(2 * STALL_S):
                await callers.accounts.hold(
                    callers.open("head"), Kind.RECEIVED, 2 * MIB
                )
            nursery.cancel_scope.cancel()
        assert callers.closed == ["large"]

    run(main, end_connections)
    run(main, end_small_holders)


def test_bytes_of_closing_connections_count_as_free(run):
    """One connection that closes slowly kept all others from being closed."""

    async def main():
        callers = Callers()
        slow = callers.open("slow", closes_at_once=False)
        quick = callers.open("quick")
        await callers.accounts.hold(slow, Kind.RECEIVED, 5 * MIB)
        await callers.accounts.hold(quick, Kind.RECEIVED, 3 * MIB)
        head = callers.open("head")
        with trio.move_on_after(3 * STALL_S):
            await callers.accounts.hold(head, Kind.RECEIVED, 5 * MIB)
        # Closing the first makes enough room.
        assert callers.closed == ["slow"]
        with trio.move_on_after(3 * STALL_S):
            await callers.accounts.hold(head, Kind.RECEIVED, 6 * MIB)
        assert callers.closed == ["slow", "quick"]

    run(main)


def test_callers_that_wait_for_budget_are_closed_last_and_newest_first(run):
    """Those that waited in the queue were closed for lack of progress."""

    async def main():
        callers = Callers()
        idle, old, new, head = map(callers.open, ("idle", "old", "new", ""))
        for account, mib in ((idle, 1), (old, 4), (new, 2), (head, 1)):
            await callers.accounts.hold(account, Kind.RECEIVED, mib * MIB)
        async with trio.open_nursery() as nursery:
            for account, mib in ((head, 2), (old, 5), (new, 3)):
                nursery.start_soon(
                    callers.accounts.hold, account, Kind.RECEIVED, mib * MIB
                )
                await trio.sleep(0.01)
            with trio.fail_after(2 * STALL_S):
                while head.waiting_since is not None:
                    await trio.sleep(0.01)
            assert callers.closed == ["idle"]
            head.is_running = True
            with trio.fail_after(2 * STALL_S):
                while old.waiting_since is not None:
                    await trio.sleep(0.01)
            assert callers.closed == ["idle", "new"]
            nursery.cancel_scope.cancel()

    run(main)


def test_waiting_for_budget_is_no_lack_of_progress(run):
    async def main():
        callers = Callers()
        large, head = callers.open("large"), callers.open("head")
        await callers.accounts.hold(large, Kind.RECEIVED, 8 * MIB)
        await callers.accounts.hold(head, Kind.RECEIVED, 2 * MIB)
        assert head.progressed_at == trio.current_time()

    run(main)


def test_holding_less_does_not_wait_in_turn(run):
    """A caller that gave bytes back waited behind those that want them."""

    async def main():
        callers = Callers()
        large = callers.open("large")
        head = callers.open("head")
        await callers.accounts.hold(large, Kind.STATE, 8 * MIB)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                callers.accounts.hold, head, Kind.RECEIVED, 2 * MIB
            )
            await trio.testing.wait_all_tasks_blocked()
            with trio.fail_after(0):
                await callers.accounts.hold(large, Kind.STATE, 7 * MIB)
            with trio.fail_after(0.01):
                await callers.accounts.hold(large, Kind.STATE, 6 * MIB)
        assert callers.closed == []

    run(main)
