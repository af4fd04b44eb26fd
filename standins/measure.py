"""The five measures of the users, for both deployments' sizes of today.

Run as ``python -m standins.measure [--deployment NAME] [--json FILE]``.
Each deployment runs as real processes behind the fault proxy, with its
latencies, on one machine.
"""

import argparse
import json
import time
import typing

import trio

from standins import fleet
from standins import loadgen

STEADY_S = 12
OVERLOAD_S = 10
MOVE_S = 8
FAILOVER_S = 18
OVERLOAD_FACTOR = 5.0
LARGE_RATE = 20.0
SMALL_RATE = 5.0


class Deployment(typing.NamedTuple):
    """Size of one organisation; times in milliseconds."""

    domains: tuple[str, ...]
    vms_per_domain: int
    groups: tuple[str, ...]
    connections: int
    between_ms: float
    client_ms: float


DEPLOYMENTS = {
    "takanashi": Deployment(
        ("obihiro", "kushiro", "kitami"),
        2,
        ("orders", "stock", "schedules"),
        20,
        0.5,
        3.0,
    ),
    "association": Deployment(
        ("kbh-a", "kbh-b", "roskilde"),
        3,
        ("ledger", "parts", "hallmarks"),
        30,
        1.0,
        1.0,
    ),
}


def make_teams():
    """Return eight teams with their plans: two large, six small."""
    teams = {}
    for number in range(8):
        rate = LARGE_RATE if number < 2 else SMALL_RATE
        # Poisson arrivals at half of the plan's rate are within it.
        teams[f"team-{number}"] = (2 * rate, max(10, int(2 * rate)))
    return teams


def make_loads(running, size, teams):
    """Return each team's load; its home is one VM."""
    names = list(running.vms)
    return [
        loadgen.Team(
            name,
            running.keys[name],
            rate / 2,
            names[index % len(names)],
            size.groups[index % len(size.groups)],
        )
        for index, (name, (rate, _)) in enumerate(teams.items())
    ]


def count_reads(running):
    """Return reads by replicas and by primaries over all VMs."""
    replica = primary = 0
    for name in running.vms:
        counters = running.get_page(name, "/metrics")["counters"]
        replica += counters.get("reads:replica", 0)
        primary += counters.get("reads:primary", 0)
    return replica, primary


def summarise(samples):
    """Return latency in milliseconds and outcomes of some samples."""
    by_team = {}
    for sample in samples:
        by_team.setdefault(sample.team, []).append(sample)
    p99 = {
        team: loadgen.get_percentile(
            [item.latency * 1000 for item in items if item.status == 200], 99
        )
        for team, items in by_team.items()
    }
    worst = max(p99, key=p99.get)
    refusals = {}
    for sample in samples:
        if sample.status != 200:
            refusals[sample.code] = refusals.get(sample.code, 0) + 1
    done = [item.latency * 1000 for item in samples if item.status == 200]
    return {
        "requests": len(samples),
        "served": len(done),
        "p50_ms": round(loadgen.get_percentile(done, 50), 1),
        "p99_ms": round(loadgen.get_percentile(done, 99), 1),
        "worst_team": worst,
        "worst_team_p99_ms": round(p99[worst], 1),
        "refusals": refusals,
    }


def get_gap(samples, since):
    """Longest time in seconds without a finished write, from a time."""
    ended = [since] + sorted(
        item.started + item.latency
        for item in samples
        if item.mode == "write" and item.status == 200
    )
    return max((b - a for a, b in zip(ended, ended[1:])), default=0.0)


async def run_phases(running, size, teams):
    """Run every phase and return its figures."""
    addresses = {name: vm.callers for name, vm in running.vms.items()}
    loads = make_loads(running, size, teams)
    load = loadgen.Load(addresses, loads, client_ms=size.client_ms)
    await load.run(2)
    before = count_reads(running)
    results = {"steady": summarise(await load.run(STEADY_S))}
    replica, primary = (
        after - first for after, first in zip(count_reads(running), before)
    )
    results["replica_read_share"] = round(
        replica / max(1, replica + primary), 4
    )
    greedy = loads[0].name
    load.factors[greedy] = 2 * OVERLOAD_FACTOR
    samples = await load.run(OVERLOAD_S)
    load.factors.clear()
    others = [item for item in samples if item.team != greedy]
    results["overload_others"] = summarise(others)
    admitted = [
        item
        for item in samples
        if item.team == greedy and item.code != "rate-limited"
    ]
    results["overload_greedy_per_s"] = round(len(admitted) / OVERLOAD_S, 1)
    results["greedy_plan_per_s"] = teams[greedy][0]
    await load.run(2)
    results.update(await run_moves(running, load, size))
    results["failover"] = await run_failover(running, load, size)
    return results


async def run_moves(running, load, size):
    """Take a domain out and bring it back, under load."""
    results = {}
    domain = size.domains[0]
    for name, in_service in (("leaves", False), ("returns", True)):
        since = time.monotonic()
        await trio.to_thread.run_sync(
            running.edit_config, "domains", domain, {"in_service": in_service}
        )
        samples = await load.run(MOVE_S)
        results[f"domain_{name}"] = {
            **summarise(samples),
            "write_gap_s": round(get_gap(samples, since), 2),
        }
    return results


async def run_failover(running, load, size):
    """Kill the primary of the first group, under load."""
    group = size.groups[0]
    primary = running.get_primary(group)
    since = time.monotonic()
    running.set_target_faults(group, primary, down=True, isolated=True)
    samples = await load.run(FAILOVER_S)
    teams = {team.name for team in load.list_teams() if team.group == group}
    own = [item for item in samples if item.team in teams]
    return {**summarise(own), "write_gap_s": round(get_gap(own, since), 2)}


def measure(name):
    """Run one deployment and return its figures."""
    size = DEPLOYMENTS[name]
    teams = make_teams()
    running = fleet.Fleet(
        size.domains,
        size.vms_per_domain,
        size.groups,
        teams=teams,
        has_fault_proxy=True,
        connections=size.connections,
    )
    with running:
        for group in size.groups:
            vm = next(iter(running.vms))
            running.write(vm, group, "CREATE TABLE t (x INTEGER)")
        running.set_link_delay(size.between_ms / 2)
        return trio.run(run_phases, running, size, teams)


def print_text(name, results):
    """Print the five measures of one deployment."""
    steady = results["steady"]
    others = results["overload_others"]
    print(f"{name}")
    print(f"  reads served by replicas  {results['replica_read_share']:.1%}")
    failover = results["failover"]
    print(
        f"  failover gap              {failover['write_gap_s']} s,"
        f" refusals {failover['refusals']}"
    )
    print(
        f"  worst-served team         p99 {steady['worst_team_p99_ms']} ms"
        f" steady, {others['worst_team_p99_ms']} ms beside a team at"
        f" {OVERLOAD_FACTOR:g} times its rate"
    )
    print(
        f"  refused within the rate   {steady['refusals']} of"
        f" {steady['requests']} steady, {others['refusals']} of"
        f" {others['requests']} beside the greedy team"
        f" ({results['overload_greedy_per_s']}/s passed,"
        f" plan {results['greedy_plan_per_s']}/s)"
    )
    for phase in ("domain_leaves", "domain_returns"):
        part = results[phase]
        print(
            f"  {phase:<25} write gap {part['write_gap_s']} s,"
            f" p99 {part['p99_ms']} ms, refusals {part['refusals']}"
            f" of {part['requests']}"
        )


def main():
    """Parse the command line, measure and print."""
    parser = argparse.ArgumentParser(prog="standins.measure")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--json", help="also write the figures to this file")
    options = parser.parse_args()
    results = {}
    for name in options.deployment or DEPLOYMENTS:
        results[name] = measure(name)
        print_text(name, results[name])
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=2)


if __name__ == "__main__":
    main()
