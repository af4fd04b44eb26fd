"""Recovery of a group from an overload that has ended."""

import itertools
import typing

import trio

from lib import proxies

TEAMS = 24
"""Teams of the callers; a connection to a target belongs to one of them."""

STATEMENTS_PER_S = 60.0
"""Rate of statements of all callers. The primary can run 90 a second, each
on a new connection."""

MIN_SUCCESS_SHARE = 0.9
"""Share of statements that a group serves when it is not overloaded."""

WARM_UP_S = 1.5
"""Time for which the callers run before the overload."""

OVERLOAD_S = 1.5
"""Time for which the primary is slow."""

RECOVERY_S = 3.0
"""Time after the overload by which the group serves again."""

MEASURED_S = 1.5
"""Time over which the answers are counted after the recovery."""


class Served(typing.NamedTuple):
    """When a statement was sent, and whether it succeeded."""

    sent_at: float
    is_success: bool


class OpenLoop:
    """Callers that send at a fixed rate, whatever the answers are.

    Like real callers, each sends a refused statement twice again.
    """

    def __init__(self, nursery, cluster, running_proxies):
        self._nursery = nursery
        self._cluster = cluster
        self._proxies = running_proxies
        self._idle = []
        self.served = []

    async def run(self, duration_s):
        """Send statements for a while."""
        count = int(duration_s * STATEMENTS_PER_S)
        for number in range(count):
            self._nursery.start_soon(self._send_statement, number)
            await trio.sleep(1 / STATEMENTS_PER_S)

    def compute_success_share(self, since):
        """Return the share of successes among the later statements."""
        results = [
            item.is_success for item in self.served if item.sent_at >= since
        ]
        return sum(results) / len(results)

    async def _send_statement(self, number):
        sent_at = trio.current_time()
        team = number % TEAMS
        caller = await self._take_caller(team, number)
        is_success = False
        for _ in range(3):
            lines = await caller.query(f"READ {number}")
            is_success = proxies.is_success(lines)
            if is_success:
                break
        self._idle.append((team, caller))
        self.served.append(Served(sent_at, is_success))

    async def _take_caller(self, team, number):
        for item in self._idle:
            if item[0] == team:
                self._idle.remove(item)
                return item[1]
        proxy = self._proxies[number % len(self._proxies)]
        return await self._cluster.connect(proxy, key=f"key-{team}")


def make_tenants():
    return [
        {
            "name": f"team-{number}",
            "apiKeys": [f"key-{number}"],
            "ratePerS": 1000,
            "burst": 1000,
        }
        for number in range(TEAMS)
    ]


def test_group_serves_again_after_an_overload_has_ended():
    """Retries and new connections must not keep the targets overloaded."""

    async def main():
        async with proxies.open_cluster() as cluster:
            cluster.store.put(
                "op/config", proxies.make_config(2, tenants=make_tenants())
            )
            running = [
                await cluster.add_proxy(f"vm-{number}", domain)
                for number, domain in enumerate(
                    itertools.islice(itertools.cycle(proxies.DOMAINS), 6)
                )
            ]
            primary = cluster.group.instances["i-0"]
            primary.slots = 2
            primary.queue_limit = 8
            primary.connect_time_s = 0.012
            primary.statement_time_s = 0.01
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                load = OpenLoop(nursery, cluster, running)
                await load.run(WARM_UP_S)
                assert load.compute_success_share(0.0) > MIN_SUCCESS_SHARE
                primary.statement_time_s = 0.4
                await load.run(OVERLOAD_S)
                primary.statement_time_s = 0.01
                await load.run(RECOVERY_S)
                since = trio.current_time()
                await load.run(MEASURED_S)
                await trio.sleep(1)
                share = load.compute_success_share(since)
                nursery.cancel_scope.cancel()
            assert share > MIN_SUCCESS_SHARE

    trio.run(main)
