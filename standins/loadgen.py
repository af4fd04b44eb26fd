"""Open-loop load of several teams.

A team's requests share one session, whichever VM each of them uses.
"""

import contextlib
import itertools
import random
import time
import typing

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http

READ_SHARE = 0.9
"""Part of the requests that are reads."""

HOME_SHARE = 0.8
"""Part of a team's requests that are sent to its home VM.

The others go to any VM at random.
"""

MAX_IDLE_CLIENTS_PER_VM = 64
"""Largest number of idle connections that are kept open to a VM."""

_ROW_NUMBERS = itertools.count(1)


class TeamLoad(typing.NamedTuple):
    """Load of one team on a database group."""

    name: str
    key: str
    rate_per_s: float
    home_vm: str
    group: str


class Sample(typing.NamedTuple):
    """Outcome of one request; status 0 without an answer.

    `started_at` is in seconds of the monotonic clock.
    """

    team: str
    mode: str
    started_at: float
    latency_s: float
    status: int
    code: str


class LoadGenerator:
    """Sender of the teams' requests to the VMs of a deployment.

    `rate_factors` multiplies the rate of the teams that it names.

    Parameters
    ----------
    addresses : dict of str to str
        Callers' address by VM.
    teams : sequence of TeamLoad
        The teams' loads.
    seed : int
        Seed of arrivals, VMs and modes.
    client_ms : float
        Latency between caller and VM in one direction.
    """

    def __init__(self, addresses, teams, seed=1, client_ms=0.0):
        self._addresses = addresses
        self._teams = {team.name: team for team in teams}
        self._random = random.Random(seed)
        self._client_s = client_ms / 1000
        self._idle_clients = {name: [] for name in addresses}
        self._tokens = {}
        self.rate_factors = {}
        self.samples = []

    def list_teams(self):
        """Return the teams' loads."""
        return list(self._teams.values())

    async def run(self, duration_s):
        """Send requests for some seconds and return their samples."""
        first = len(self.samples)
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as arrivals:
                    for team in self._teams.values():
                        arrivals.start_soon(
                            self._generate_requests, team, nursery
                        )
        return self.samples[first:]

    async def _generate_requests(self, team, nursery):
        while True:
            rate = team.rate_per_s * self.rate_factors.get(team.name, 1.0)
            await trio.sleep(self._random.expovariate(rate))
            nursery.start_soon(self._send, team)

    async def _send(self, team):
        names = list(self._addresses)
        vm = team.home_vm
        if self._random.random() > HOME_SHARE:
            vm = self._random.choice(names)
        mode = "read"
        sql = "SELECT count(*) FROM t WHERE x < 10"
        if self._random.random() > READ_SHARE:
            mode = "write"
            sql = f"INSERT INTO t VALUES ({next(_ROW_NUMBERS)})"
        started_at = time.monotonic()
        status, code = 0, "no-answer"
        with contextlib.suppress(exceptions.NetworkError, trio.TooSlowError):
            with trio.fail_after(30):
                status, code = await self._exchange(team, vm, mode, sql)
        latency_s = time.monotonic() - started_at
        self.samples.append(
            Sample(team.name, mode, started_at, latency_s, status, code)
        )

    async def _exchange(self, team, vm, mode, sql):
        await trio.sleep(self._client_s)
        client = await self._acquire_client(vm)
        headers = [
            ("Authorization", f"Bearer {team.key}"),
            ("Geraniumridge-Session", self._tokens.get(team.name, "")),
        ]
        body = msgspec.json.encode({"sql": sql, "mode": mode})
        path = f"/v1/groups/{team.group}/statements"
        try:
            response = await client.request("POST", path, body, headers)
        except BaseException:
            await client.close()
            raise
        await self._release_client(vm, client)
        await trio.sleep(self._client_s)
        data = msgspec.json.decode(response.body)
        for name, value in response.headers:
            if name.lower() == "geraniumridge-session":
                self._tokens[team.name] = value
        return response.status, data.get("code", "")

    async def _acquire_client(self, vm):
        while self._idle_clients[vm]:
            client = self._idle_clients[vm].pop()
            if client.is_usable:
                return client
        return await http.open_client(self._addresses[vm], timeout_s=5)

    async def _release_client(self, vm, client):
        if (
            client.is_usable
            and len(self._idle_clients[vm]) < MAX_IDLE_CLIENTS_PER_VM
        ):
            self._idle_clients[vm].append(client)
        else:
            await client.close()


def get_percentile(values, percent):
    """Return a percentile of values, 0.0 without any."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[rank]
