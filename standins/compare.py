"""Policies against their baselines, on a fake clock with a seed.

Run as ``python -m standins.compare``. Rates: per-domain buckets with
borrowing against an equal part per VM. Fairness: the fair queue
against first come, first served, before the slots of one target.
"""

import collections
import heapq
import random

from geraniumridge._internal.decisions import fairqueue
from geraniumridge._internal.decisions import limiter
from geraniumridge._internal.models import config
from standins import loadgen

SEED = 20261204
DOMAINS = ("a", "b", "c")
VMS = 6
REQUESTS = 6_000
RATE = 40.0
BURST = 20
SLOTS = 3
SERVICE_S = 0.01
GOAL_S = 20.0


def make_arrivals(rate, count, chance):
    """Yield arrival times of a Poisson stream."""
    now = 10.0
    for _ in range(count):
        now += chance.expovariate(rate)
        yield now


def refuse_by_equal_parts(arrivals):
    """Refusals with a bucket of an equal part on the VM that is used."""
    level, filled_at, refused = BURST / VMS, 10.0, 0
    for now in arrivals:
        level = min(BURST / VMS, level + (now - filled_at) * RATE / VMS)
        filled_at = now
        if level >= 1:
            level -= 1
        else:
            refused += 1
    return refused


def refuse_by_domains(arrivals):
    """Refusals with buckets per domain, asked in turn."""
    use = config.PlanUse(RATE, BURST, {})
    buckets = {name: limiter.TokenBucket(0.0) for name in DOMAINS}
    refused = 0
    for now in arrivals:
        for name, bucket in buckets.items():
            part = limiter.split_allowance("t", use, name, DOMAINS)
            result = bucket.grant_tokens(now, part, 1, 0)
            if result.granted:
                bucket.grant_tokens(now, part, 0, 0, [result.batch])
                break
        else:
            refused += 1
    return refused


class FirstComeQueue:
    """Baseline with the interface of the fair queue."""

    def __init__(self):
        self._items = collections.deque()

    def push(self, team, weight, deadline, item):
        """Add a request at the end."""
        self._items.append(item)

    def pop(self, now):
        """Return the first request."""
        return self._items.popleft() if self._items else None


def run_queue(queue, greedy_factor):
    """Return each team's p99 wait in milliseconds before a target."""
    chance = random.Random(SEED)
    capacity = SLOTS / SERVICE_S
    rates = {f"small-{i}": capacity * 0.05 for i in range(6)}
    rates["greedy"] = capacity * 0.2 * greedy_factor
    events = [
        (now, 1, team)
        for team, rate in rates.items()
        for now in make_arrivals(rate, int(rate * GOAL_S), chance)
    ]
    heapq.heapify(events)
    free = SLOTS
    waits = collections.defaultdict(list)
    while events:
        now, kind, team = heapq.heappop(events)
        if kind == 1:
            queue.push(team, 1.0, now + 1e9, (team, now))
        else:
            free += 1
        while free and (item := queue.pop(now)) is not None:
            free -= 1
            waits[item[0]].append((now - item[1]) * 1000)
            heapq.heappush(events, (now + SERVICE_S, 0, ""))
    return {
        team: loadgen.get_percentile(values, 99)
        for team, values in waits.items()
    }


def get_worst_other(waits):
    """Return the highest p99 wait of the teams but the greedy one."""
    return max(wait for team, wait in waits.items() if team != "greedy")


def main():
    """Compare and print."""
    for share in (0.3, 0.6, 0.9):
        equal, domains = (
            policy(make_arrivals(RATE * share, REQUESTS, random.Random(SEED)))
            for policy in (refuse_by_equal_parts, refuse_by_domains)
        )
        print(
            f"rates: {share:.0%} of the plan through one of {VMS} VMs:"
            f" refused of {REQUESTS}: equal part per VM {equal},"
            f" buckets per domain {domains}"
        )
    for factor in (1, 5):
        first = get_worst_other(run_queue(FirstComeQueue(), factor))
        fair = get_worst_other(
            run_queue(fairqueue.FairQueue(1_000_000), factor)
        )
        print(
            f"fairness: one team at {factor} times its rate: worst other"
            f" p99 wait: first come {first:.1f} ms, fair {fair:.1f} ms"
        )


if __name__ == "__main__":
    main()
