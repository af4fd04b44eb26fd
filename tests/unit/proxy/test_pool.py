"""Connections of a pool to a target with a connection limit."""

import pytest
import trio

from geraniumridge._internal.decisions import connection_share
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import pool
from lib import fleets

TARGET = fleets.make_target("t-1")


class FakeLink:
    """Connection that its target counts until it is aborted."""

    def __init__(self, dialect):
        self._dialect = dialect
        self.is_open = True

    def abort(self):
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self._dialect.open_count -= 1


class FakeDialect:
    """Target that refuses connections at its limit."""

    def __init__(self, max_connections):
        self.max_connections = max_connections
        self.open_count = 0
        self.opened = 0

    async def open(self, target, team, timeout_s):
        """Open a connection, or refuse it."""
        await trio.sleep(0)
        if self.open_count >= self.max_connections:
            raise exceptions.TargetRefusedError(
                "full", statements.Outcome.TOO_MANY_CONNECTIONS
            )
        self.open_count += 1
        self.opened += 1
        return FakeLink(self)


def make_pool(dialect, max_open=4, max_kept_open=4):
    made = pool.ConnectionPool(dialect)
    made.set_limits(connection_share.PoolLimits(max_open, max_kept_open))
    return made


async def use(tested, team):
    """Use a connection of a team for a moment."""
    connection = await tested.acquire(TARGET, team)
    await trio.sleep(0)
    tested.release(connection)


def test_connection_of_a_team_is_used_again():
    async def main():
        dialect = FakeDialect(4)
        tested = make_pool(dialect)
        for _ in range(5):
            await use(tested, "team")
        assert dialect.opened == 1

    trio.run(main)


def test_idle_connection_of_another_team_makes_room_at_a_full_target():
    """Former processes of VMs that lost power still hold connections."""

    async def main():
        dialect = FakeDialect(4)
        tested = make_pool(dialect)
        await use(tested, "team-1")
        await use(tested, "team-2")
        dialect.max_connections = 2
        for number in range(20):
            await use(tested, f"team-{number}")
        assert dialect.open_count <= 2

    trio.run(main)


def test_statement_is_not_sent_if_a_full_target_has_no_connection_of_the_vm():
    async def main():
        tested = make_pool(FakeDialect(0))
        with pytest.raises(exceptions.NotSentError):
            await use(tested, "team")

    trio.run(main)


def test_pool_grows_again_when_the_target_has_room():
    async def main():
        dialect = FakeDialect(1)
        tested = make_pool(dialect)
        await use(tested, "team-1")
        await use(tested, "team-2")
        dialect.max_connections = 4
        await trio.sleep(connection_share.FULL_TARGET_S)
        for team in ("team-1", "team-2", "team-3"):
            await use(tested, team)
        assert dialect.open_count == 3

    trio.run(main)
