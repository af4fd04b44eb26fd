"""Rate limits of teams, measured over the whole fleet."""

import bisect
import time
import typing

from lib import load
from standins import fleet

DOMAINS = ("a", "b", "c")
RATE_PER_S = 40.0
"""Rate of the tested plan, in requests per second."""

BURST = 20
"""Burst of that plan, in requests."""


class AcceptedRequest(typing.NamedTuple):
    """Request that was not refused; clock times in seconds."""

    started_at: float
    ended_at: float


class Readers(load.Workers):
    """Threads that read through given VMs as fast as they can.

    Parameters
    ----------
    deployment : standins.fleet.Fleet
        Deployment to read from.
    vms : sequence of str
        Names of VMs; a repeated name gets several threads.
    team : str
        Team whose key is used.
    pause_s : float, optional
        Pause of a thread between two reads, in seconds.
    """

    def __init__(self, deployment, vms, team, pause_s=0.0):
        super().__init__(vms)
        self.accepted = []
        self.refused = []
        self._deployment = deployment
        self._team = team
        self._pause_s = pause_s

    def _run(self, vm):
        while not self._stopped.is_set():
            started_at = time.monotonic()
            try:
                answer = self._deployment.read(
                    vm, "ledger", "SELECT 1", self._team
                )
            except OSError:
                time.sleep(0.1)
                continue
            if answer.status == 200:
                self.accepted.append(
                    AcceptedRequest(started_at, time.monotonic())
                )
            else:
                self.refused.append(answer)
            self._stopped.wait(self._pause_s)


def check_rate_limit(accepted, rate, burst):
    """Check that accepted requests stay within a rate limit.

    The limit must hold in every window from the start of one request to
    the end of another.

    Parameters
    ----------
    accepted : sequence of AcceptedRequest
        The requests.
    rate : float
        Requests per second.
    burst : int
        Requests allowed on top of the rate in each window.
    """
    by_end_time = sorted(accepted, key=lambda item: item.ended_at)
    start_times = sorted(item.started_at for item in accepted)
    for first in start_times[:: max(1, len(start_times) // 200)]:
        end_times = [
            item.ended_at for item in by_end_time if item.started_at >= first
        ]
        for last in end_times:
            count = bisect.bisect_right(end_times, last)
            limit = rate * (last - first) + burst
            assert count <= limit + 1e-6, (count, limit, last - first)


def test_reads_through_all_vms_stay_within_the_plan():
    teams = {"flood": (RATE_PER_S, BURST), "calm": (20.0, 20)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        vms = list(deployment.vms) * 2
        started_at = time.monotonic()
        with Readers(deployment, vms, "flood") as readers:
            time.sleep(4)
            deployment.kill("b-1")
            time.sleep(2)
            deployment.edit_config("domains", "c", {"in_service": False})
            time.sleep(4)
            deployment.start_vm("b-1")
            deployment.edit_config("domains", "c", {"in_service": True})
            time.sleep(6)
        duration_s = time.monotonic() - started_at
        check_rate_limit(readers.accepted, RATE_PER_S, BURST)
        assert {item.data["code"] for item in readers.refused} <= {
            "rate-limited",
            "unavailable",
            "stopping",
        }
        assert len(readers.accepted) > RATE_PER_S * duration_s / 3


def test_team_within_its_rate_on_one_vm_is_never_refused():
    teams = {"calm": (20.0, 20)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        # Two thirds of the plan's rate, all through a single VM.
        with Readers(deployment, ["a-1"], "calm", pause_s=0.075) as readers:
            time.sleep(12)
        assert readers.refused == []
        assert len(readers.accepted) > 60


def test_changed_plan_limits_later_requests():
    teams = {"flood": (RATE_PER_S, BURST)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        plan = {
            "rate_per_s": RATE_PER_S / 4,
            "burst": BURST // 4,
            "groups": {"ledger": "write"},
        }
        with Readers(deployment, list(deployment.vms), "flood") as readers:
            time.sleep(2)
            deployment.edit_config("use", "plan-flood", plan)
            time.sleep(8)
            in_force_at = time.monotonic()
            time.sleep(6)
        accepted_later = [
            item for item in readers.accepted if item.started_at > in_force_at
        ]
        check_rate_limit(readers.accepted, RATE_PER_S, BURST)
        check_rate_limit(accepted_later, RATE_PER_S / 4, BURST // 4)
