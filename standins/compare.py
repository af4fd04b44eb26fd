"""Simulations that compare policies with their baselines.

Run as ``python -m standins.compare``; time is simulated and arrivals
are random with a fixed seed. Rates: token buckets per failure domain
with borrowing, against an equal part of the plan per VM. Fairness: the
fair queue against first come, first served, before the slots of one
target.
"""

import collections
import heapq
import random

from geraniumridge._internal.decisions import fairqueue
from geraniumridge._internal.decisions import limiter
from geraniumridge._internal.models import config
from standins import loadgen

SEED = 20261204
"""Seed of all arrivals, so that each run prints the same figures."""

DOMAINS = ("a", "b", "c")
"""Failure domains, each with a token bucket of the plan."""

VM_COUNT = 6
"""Number of VMs between which the baseline divides the plan."""

REQUEST_COUNT = 6_000
"""Requests of each comparison of rates."""

PLAN_RATE_PER_S = 40.0
"""Rate that the plan allows."""

PLAN_BURST_TOKENS = 20
"""Burst that the plan allows."""

SLOT_COUNT = 3
"""Statements that the target runs at once."""

SERVICE_TIME_S = 0.01
"""Time for which a statement holds a slot."""

ARRIVAL_DURATION_S = 20.0
"""Time during which requests arrive in the comparison of fairness."""


def make_arrivals(rate_per_s, count, generator):
    """Yield the arrival times of a Poisson process, in seconds."""
    now = 10.0
    for _ in range(count):
        now += generator.expovariate(rate_per_s)
        yield now


def count_refusals_with_equal_parts(arrivals):
    """Return the number of refusals with an equal part of the plan per VM.

    All requests go through one VM.
    """
    tokens, refilled_at, refused_count = PLAN_BURST_TOKENS / VM_COUNT, 10.0, 0
    for now in arrivals:
        tokens = min(
            PLAN_BURST_TOKENS / VM_COUNT,
            tokens + (now - refilled_at) * PLAN_RATE_PER_S / VM_COUNT,
        )
        refilled_at = now
        if tokens >= 1:
            tokens -= 1
        else:
            refused_count += 1
    return refused_count


def count_refusals_with_domain_buckets(arrivals):
    """Return the number of refusals with a bucket of the plan per domain.

    A request asks the domains in turn until one of them has a token.
    """
    use = config.PlanUse(PLAN_RATE_PER_S, PLAN_BURST_TOKENS, {})
    buckets = {name: limiter.TokenBucket(0.0) for name in DOMAINS}
    refused_count = 0
    for now in arrivals:
        for name, bucket in buckets.items():
            part = limiter.split_allowance("t", use, name, DOMAINS)
            result = bucket.grant_tokens(now, part, 1, 0)
            if result.granted:
                # Report the batch of the granted token as spent.
                bucket.grant_tokens(now, part, 0, 0, [result.batch])
                break
        else:
            refused_count += 1
    return refused_count


class FifoQueue:
    """Queue in order of arrival, with the interface of the fair queue."""

    def __init__(self):
        self._requests = collections.deque()

    def push(self, team, weight, deadline, item):
        """Add a request at the end."""
        self._requests.append(item)

    def pop(self, now):
        """Return the first request."""
        return self._requests.popleft() if self._requests else None


def measure_p99_waits(queue, greedy_factor):
    """Return each team's p99 wait in milliseconds for a target's slot.

    The greedy team sends at a multiple of its usual rate.
    """
    generator = random.Random(SEED)
    capacity = SLOT_COUNT / SERVICE_TIME_S
    rates = {f"small-{i}": capacity * 0.05 for i in range(6)}
    rates["greedy"] = capacity * 0.2 * greedy_factor
    # The second field is 1 for an arrival and 0 for the end of a statement.
    events = [
        (now, 1, team)
        for team, rate in rates.items()
        for now in make_arrivals(
            rate, int(rate * ARRIVAL_DURATION_S), generator
        )
    ]
    heapq.heapify(events)
    free_slots = SLOT_COUNT
    waits_ms = collections.defaultdict(list)
    while events:
        now, kind, team = heapq.heappop(events)
        if kind == 1:
            queue.push(team, 1.0, now + 1e9, (team, now))
        else:
            free_slots += 1
        while free_slots and (request := queue.pop(now)) is not None:
            free_slots -= 1
            waits_ms[request[0]].append((now - request[1]) * 1000)
            heapq.heappush(events, (now + SERVICE_TIME_S, 0, ""))
    return {
        team: loadgen.get_percentile(values, 99)
        for team, values in waits_ms.items()
    }


def get_worst_other(waits_ms):
    """Return the highest p99 wait of all teams but the greedy one."""
    return max(
        wait_ms for team, wait_ms in waits_ms.items() if team != "greedy"
    )


def main():
    """Run both comparisons and print their figures."""
    for share in (0.3, 0.6, 0.9):
        equal_refused, domains_refused = (
            count_refusals(
                make_arrivals(
                    PLAN_RATE_PER_S * share, REQUEST_COUNT, random.Random(SEED)
                )
            )
            for count_refusals in (
                count_refusals_with_equal_parts,
                count_refusals_with_domain_buckets,
            )
        )
        print(
            f"rates: {share:.0%} of the plan through one of {VM_COUNT} VMs:"
            f" refused of {REQUEST_COUNT}: equal part per VM {equal_refused},"
            f" buckets per domain {domains_refused}"
        )
    for factor in (1, 5):
        fifo_ms = get_worst_other(measure_p99_waits(FifoQueue(), factor))
        fair_ms = get_worst_other(
            measure_p99_waits(fairqueue.FairQueue(1_000_000), factor)
        )
        print(
            f"fairness: one team at {factor} times its rate: worst other"
            f" p99 wait: first come {fifo_ms:.1f} ms, fair {fair_ms:.1f} ms"
        )


if __name__ == "__main__":
    main()
