"""Replay of many VMs that choose targets with old knowledge of the loads.

Targets run statements in a limited number of slots and queue the rest. Time
is simulated; there is no network and no clock.
"""

import collections
import heapq
import math
import random
import typing

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions.placement import choice
from geraniumridge._internal.decisions.placement import penalties

SAMPLE_INTERVAL_S = 0.1
"""Interval at which the loads are observed."""

WINDOW_S = 0.25
"""Time over which the load of a target is averaged for the result."""


CONNECT_S = 0.012
"""Time of a slot that a new connection takes, as measured in fleets."""


class ReplayedTarget(typing.NamedTuple):
    """A target: its slots, mean service time and time of its return.

    Until `returns_at` it takes no statements.
    """

    slots: int
    service_s: float
    returns_at: float = 0.0


class Scenario(typing.NamedTuple):
    """A replay. `load_share` is the offered load as a share of all slots.

    `age_s` is the least age of the VMs' knowledge, besides the time that it
    is averaged over; the choices begin to count at `counted_from_s`.
    `kept_share` is the share of VMs that keep a connection to a target open;
    where there is none, one is opened, which takes `CONNECT_S` of a slot.
    Opening costs nothing if it is None.
    """

    targets: tuple
    vm_count: int
    age_s: float
    seed: int
    load_share: float = 0.5
    duration_s: float = 6.0
    counted_from_s: float = 2.0
    kept_share: float | None = None


class _VmKnowledge:
    """What one VM knows of the targets."""

    def __init__(self, target_count):
        self.loads = [load.TargetLoad() for _ in range(target_count)]
        self.kept = set()
        self.idle = collections.Counter()


class Replay:
    """A scenario in progress.

    Parameters
    ----------
    scenario : Scenario
        What is replayed.
    choose : callable
        Returns the index of a target from a list of
        `choice.LoadedCandidate`, whose targets are indexes, and a
        `random.Random`.
    """

    def __init__(self, scenario, choose):
        self._scenario = scenario
        self._choose = choose
        self._random = random.Random(scenario.seed)
        count = len(scenario.targets)
        self._vms = [_VmKnowledge(count) for _ in range(scenario.vm_count)]
        self._running = [0] * count
        self._queues = [collections.deque() for _ in range(count)]
        self._events = []
        self._number = 0
        self._observations = collections.deque()
        self._seen = None
        self._areas = [0.0] * count
        self._areas_at = [0.0] * count
        self._chosen_count = 0
        self._opened_count = 0
        for known in self._vms:
            for number in range(count):
                if self._random.random() < (scenario.kept_share or 0.0):
                    known.kept.add(number)

    @property
    def opened_share(self):
        """Connections that were opened, of the statements."""
        return self._opened_count / self._chosen_count

    def run(self):
        """Return the mean over time of largest to mean load per slot."""
        scenario = self._scenario
        rate = scenario.load_share * sum(
            item.slots / item.service_s for item in scenario.targets
        )
        for vm in range(scenario.vm_count):
            self._add_event(self._draw_s(scenario.vm_count / rate), "new", vm)
        self._add_event(0.0, "observe")
        self._add_event(scenario.counted_from_s, "window", None)
        ratios = []
        while True:
            now, _, kind, *details = heapq.heappop(self._events)
            if now > scenario.duration_s:
                return sum(ratios) / len(ratios)
            if kind == "new":
                (vm,) = details
                self._begin(now, vm)
                delay_s = self._draw_s(scenario.vm_count / rate)
                self._add_event(now + delay_s, "new", vm)
            elif kind == "end":
                self._end(now, *details)
            elif kind == "observe":
                self._observe(now)
                self._add_event(now + SAMPLE_INTERVAL_S, "observe")
            else:
                if details[0] is not None:
                    ratios.append(self._get_ratio(now, details[0]))
                for target in range(len(scenario.targets)):
                    self._count(target, now)
                self._add_event(now + WINDOW_S, "window", list(self._areas))

    def _get_ratio(self, now, areas_before):
        fills = []
        for number, target in enumerate(self._scenario.targets):
            self._count(number, now)
            if now >= target.returns_at:
                area = self._areas[number] - areas_before[number]
                fills.append(area / WINDOW_S / target.slots)
        return max(fills) / (sum(fills) / len(fills))

    def _begin(self, now, vm):
        observed_at, occupancies = self._get_observation(now)
        known = self._vms[vm]
        loads = known.loads
        candidates = []
        for number, target in enumerate(self._scenario.targets):
            if now < target.returns_at:
                continue
            target_load = loads[number]
            others = 0.0
            if occupancies is not None:
                others = occupancies[number] - occupancies[number, vm]
            is_connected = (
                self._scenario.kept_share is None or known.idle[number] > 0
            )
            candidates.append(
                choice.LoadedCandidate(
                    number,
                    target.slots,
                    target_load.latency_s,
                    target_load.get_latency_age_s(now),
                    0.0,
                    0.0 if is_connected else penalties.CONNECT_PENALTY_S,
                    target_load.outstanding,
                    others,
                    now - observed_at + load.OCCUPANCY_WINDOW_S,
                )
            )
        chosen = self._choose(candidates, self._random)
        call = loads[chosen].begin(now)
        self._count(chosen, now)
        connect_s = self._take_connection(known, chosen)
        if self._running[chosen] < self._scenario.targets[chosen].slots:
            self._start(now, chosen, vm, call, connect_s)
        else:
            self._queues[chosen].append((vm, call, connect_s))

    def _take_connection(self, known, target):
        """Return the time that it takes to get a connection of a VM."""
        self._chosen_count += 1
        if self._scenario.kept_share is None:
            return 0.0
        if known.idle[target] > 0:
            known.idle[target] -= 1
            return 0.0
        self._opened_count += 1
        return CONNECT_S

    def _start(self, now, target, vm, call, connect_s):
        self._running[target] += 1
        service_s = self._draw_s(self._scenario.targets[target].service_s)
        service_s += connect_s
        self._add_event(now + service_s, "end", target, vm, call)

    def _end(self, now, target, vm, call):
        self._count(target, now)
        self._running[target] -= 1
        known = self._vms[vm]
        known.loads[target].end(call, now, is_answered=True)
        if target in known.kept:
            known.idle[target] = 1
        if self._queues[target]:
            self._start(now, target, *self._queues[target].popleft())

    def _count(self, target, now):
        """Add the load since the last change to a target's area."""
        outstanding = self._running[target] + len(self._queues[target])
        self._areas[target] += outstanding * (now - self._areas_at[target])
        self._areas_at[target] = now

    def _observe(self, now):
        """Take the sum of what all VMs report, to be known `age_s` later."""
        sums = collections.Counter()
        for vm, known in enumerate(self._vms):
            for target, target_load in enumerate(known.loads):
                occupancy = target_load.get_occupancy(now)
                sums[target] += occupancy
                sums[target, vm] = occupancy
        self._observations.append((now, sums))

    def _get_observation(self, now):
        """Return the time and the sums of the newest known observation."""
        age_s = self._scenario.age_s
        while self._observations and self._observations[0][0] + age_s <= now:
            self._seen = self._observations.popleft()
        return self._seen or (-math.inf, None)

    def _draw_s(self, mean_s):
        return self._random.expovariate(1 / mean_s)

    def _add_event(self, at, kind, *details):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, *details))


def choose_by_draw(candidates, random_source):
    """Choose the better of two drawn targets."""
    return choice.order_by_draw(candidates, random_source)[0]


def choose_by_own_calls(candidates, random_source):
    """Choose the least estimated latency by the VM's own calls alone."""
    return choice.order_by_wait(
        choice.Candidate(
            item.target,
            item.latency_s * (1 + item.own / item.slots) + item.connect_s,
        )
        for item in candidates
    )[0]


def choose_least_loaded(candidates, random_source):
    """Choose the least load per slot by all that is known."""
    return min(
        candidates, key=lambda item: (item.others + item.own) / item.slots
    ).target


def choose_at_random(candidates, random_source):
    """Choose any target."""
    return random_source.choice(candidates).target


def choose_at_random_by_slots(candidates, random_source):
    """Choose any target, by the numbers of their slots."""
    weights = [item.slots for item in candidates]
    return random_source.choices(candidates, weights)[0].target
