"""Rate limits of teams over all VMs of a deployment."""

import bisect
import time
import typing

from lib import load
from standins import fleet

DOMAINS = ("a", "b", "c")
RATE = 40.0
BURST = 20


class Passed(typing.NamedTuple):
    """Request that was admitted; start and end in seconds."""

    started: float
    ended: float


class Flood(load.Workers):
    """Threads that send reads through given VMs without a limit."""

    def __init__(self, deployment, vms, team, pause_s=0.0):
        super().__init__(vms)
        self.passed = []
        self.refused = []
        self._deployment = deployment
        self._team = team
        self._pause_s = pause_s

    def _run(self, vm):
        while not self._stopped.is_set():
            started = time.monotonic()
            try:
                answer = self._deployment.read(
                    vm, "ledger", "SELECT 1", self._team
                )
            except OSError:
                time.sleep(0.1)
                continue
            if answer.status == 200:
                self.passed.append(Passed(started, time.monotonic()))
            else:
                self.refused.append(answer)
            self._stopped.wait(self._pause_s)


def check_windows(passed, rate, burst):
    """Check the rate limit in windows of time.

    Each window begins at the start of one request and ends at the end of
    another; it may contain `rate` times its length plus `burst` requests.
    """
    by_end = sorted(passed, key=lambda item: item.ended)
    starts = sorted(item.started for item in passed)
    for first in starts[:: max(1, len(starts) // 200)]:
        inside = [item.ended for item in by_end if item.started >= first]
        for last in inside:
            count = bisect.bisect_right(inside, last)
            limit = rate * (last - first) + burst
            assert count <= limit + 1e-6, (count, limit, last - first)


def test_flood_over_all_vms_stays_within_the_plan():
    teams = {"flood": (RATE, BURST), "calm": (20.0, 20)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        vms = list(deployment.vms) * 2
        began_at = time.monotonic()
        with Flood(deployment, vms, "flood") as flood:
            time.sleep(4)
            deployment.kill("b-1")
            time.sleep(2)
            deployment.edit_config("domains", "c", {"in_service": False})
            time.sleep(4)
            deployment.start_vm("b-1")
            deployment.edit_config("domains", "c", {"in_service": True})
            time.sleep(6)
        seconds = time.monotonic() - began_at
        check_windows(flood.passed, RATE, BURST)
        assert {item.data["code"] for item in flood.refused} <= {
            "rate-limited",
            "unavailable",
            "stopping",
        }
        assert len(flood.passed) > RATE * seconds / 3


def test_team_within_its_rate_on_one_vm_is_never_refused():
    teams = {"calm": (20.0, 20)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        # Two thirds of the plan, all of it through a single VM.
        with Flood(deployment, ["a-1"], "calm", pause_s=0.075) as calm:
            time.sleep(12)
        assert calm.refused == []
        assert len(calm.passed) > 60


def test_changed_plan_is_in_force_and_keeps_its_limits():
    teams = {"flood": (RATE, BURST)}
    with fleet.Fleet(DOMAINS, vms_per_domain=2, teams=teams) as deployment:
        plan = {
            "rate_per_s": RATE / 4,
            "burst": BURST // 4,
            "groups": {"ledger": "write"},
        }
        with Flood(deployment, list(deployment.vms), "flood") as flood:
            time.sleep(2)
            deployment.edit_config("use", "plan-flood", plan)
            time.sleep(8)
            changed_at = time.monotonic()
            time.sleep(6)
        late = [item for item in flood.passed if item.started > changed_at]
        check_windows(flood.passed, RATE, BURST)
        check_windows(late, RATE / 4, BURST // 4)
