"""Service figures of both users' deployments at their present sizes.

Run as ``python -m standins.measure [--deployment NAME] [--json FILE]``.
Prints the five measures that the users of both deployments named: the
reads served by replicas, the gap in writes during a failover, the latency
of the worst-served team, the refusals within the rate, and the effect of
a domain that leaves and returns. Each deployment runs as real processes
on one machine, connected by the fault proxy, which adds the deployment's
latencies.
"""

import argparse
import json
import time
import typing

import trio

from standins import fleet
from standins import loadgen

STEADY_DURATION_S = 12
"""Time under the teams' usual load."""

OVERLOAD_DURATION_S = 10
"""Time during which one team exceeds its plan."""

DOMAIN_CHANGE_DURATION_S = 8
"""Time after a domain leaves, and after it returns."""

FAILOVER_DURATION_S = 18
"""Time after the primary is killed."""

OVERLOAD_FACTOR = 5.0
"""Multiple of its plan's rate at which the greedy team sends."""

LARGE_TEAM_RATE_PER_S = 20.0
"""Usual rate of a large team."""

SMALL_TEAM_RATE_PER_S = 5.0
"""Usual rate of a small team."""


class Deployment(typing.NamedTuple):
    """Size and latencies of one organisation's deployment.

    Attributes
    ----------
    domains : tuple of str
        Failure domains.
    vms_per_domain : int
        VMs in each domain.
    groups : tuple of str
        Database groups.
    connections : int
        Connection limit of each target.
    between_ms : float
        Round-trip time between VMs, targets and the platform. The fault
        proxy adds half of it to each direction.
    client_ms : float
        Latency between callers and VMs in one direction. The load
        generator adds it before a request and after its answer.
    """

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
    """Return rate and burst of eight teams, two large and six small."""
    teams = {}
    for number in range(8):
        rate = LARGE_TEAM_RATE_PER_S if number < 2 else SMALL_TEAM_RATE_PER_S
        # Poisson arrivals at half of the plan's rate stay within it.
        teams[f"team-{number}"] = (2 * rate, max(10, int(2 * rate)))
    return teams


def make_loads(deployment, spec, teams):
    """Return each team's load, with one VM as its home."""
    names = list(deployment.vms)
    return [
        loadgen.TeamLoad(
            name,
            deployment.keys[name],
            rate / 2,
            names[index % len(names)],
            spec.groups[index % len(spec.groups)],
        )
        for index, (name, (rate, _)) in enumerate(teams.items())
    ]


def count_reads(deployment):
    """Return the reads of all VMs from replicas and from primaries."""
    replica = primary = 0
    for name in deployment.vms:
        counters = deployment.get_page(name, "/metrics")["counters"]
        replica += counters.get("reads:replica", 0)
        primary += counters.get("reads:primary", 0)
    return replica, primary


def summarise(samples):
    """Return latencies in milliseconds and outcomes of samples."""
    by_team = {}
    for sample in samples:
        by_team.setdefault(sample.team, []).append(sample)
    p99_by_team = {
        team: loadgen.get_percentile(
            [item.latency_s * 1000 for item in items if item.status == 200], 99
        )
        for team, items in by_team.items()
    }
    worst = max(p99_by_team, key=p99_by_team.get)
    refusals = {}
    for sample in samples:
        if sample.status != 200:
            refusals[sample.code] = refusals.get(sample.code, 0) + 1
    latencies_ms = [
        item.latency_s * 1000 for item in samples if item.status == 200
    ]
    return {
        "requests": len(samples),
        "served": len(latencies_ms),
        "p50_ms": round(loadgen.get_percentile(latencies_ms, 50), 1),
        "p99_ms": round(loadgen.get_percentile(latencies_ms, 99), 1),
        "worst_team": worst,
        "worst_team_p99_ms": round(p99_by_team[worst], 1),
        "refusals": refusals,
    }


def get_longest_write_gap(samples, start):
    """Return the longest time in seconds without a successful write.

    The first gap begins at `start`. The time after the last successful
    write is not counted; without any, the result is 0.
    """
    write_ends = [start] + sorted(
        item.started_at + item.latency_s
        for item in samples
        if item.mode == "write" and item.status == 200
    )
    return max(
        (b - a for a, b in zip(write_ends, write_ends[1:])), default=0.0
    )


async def run_phases(deployment, spec, teams):
    """Run every phase and return the figures by phase.

    `overload_greedy_per_s` counts the greedy team's requests that were
    not refused as ``rate-limited``, failed ones included.
    """
    addresses = {name: vm.callers for name, vm in deployment.vms.items()}
    loads = make_loads(deployment, spec, teams)
    load = loadgen.LoadGenerator(addresses, loads, client_ms=spec.client_ms)
    await load.run(2)
    counts_before = count_reads(deployment)
    results = {"steady": summarise(await load.run(STEADY_DURATION_S))}
    replica, primary = (
        count_after - count_before
        for count_after, count_before in zip(
            count_reads(deployment), counts_before
        )
    )
    results["replica_read_share"] = round(
        replica / max(1, replica + primary), 4
    )
    greedy = loads[0].name
    load.rate_factors[greedy] = 2 * OVERLOAD_FACTOR
    samples = await load.run(OVERLOAD_DURATION_S)
    load.rate_factors.clear()
    others = [item for item in samples if item.team != greedy]
    results["overload_others"] = summarise(others)
    not_rate_limited = [
        item
        for item in samples
        if item.team == greedy and item.code != "rate-limited"
    ]
    results["overload_greedy_per_s"] = round(
        len(not_rate_limited) / OVERLOAD_DURATION_S, 1
    )
    results["greedy_plan_per_s"] = teams[greedy][0]
    await load.run(2)
    results.update(await run_domain_changes(deployment, load, spec))
    results["failover"] = await run_failover(deployment, load, spec)
    return results


async def run_domain_changes(deployment, load, spec):
    """Take a domain out of service and back in, under load."""
    results = {}
    domain = spec.domains[0]
    for name, in_service in (("leaves", False), ("returns", True)):
        start = time.monotonic()
        await trio.to_thread.run_sync(
            deployment.edit_config,
            "domains",
            domain,
            {"in_service": in_service},
        )
        samples = await load.run(DOMAIN_CHANGE_DURATION_S)
        results[f"domain_{name}"] = {
            **summarise(samples),
            "write_gap_s": round(get_longest_write_gap(samples, start), 2),
        }
    return results


async def run_failover(deployment, load, spec):
    """Kill the primary of the first group, under load."""
    group = spec.groups[0]
    primary = deployment.get_primary(group)
    start = time.monotonic()
    deployment.set_target_faults(group, primary, down=True, isolated=True)
    samples = await load.run(FAILOVER_DURATION_S)
    teams = {team.name for team in load.list_teams() if team.group == group}
    group_samples = [item for item in samples if item.team in teams]
    return {
        **summarise(group_samples),
        "write_gap_s": round(get_longest_write_gap(group_samples, start), 2),
    }


def measure_deployment(name):
    """Run one deployment and return its figures."""
    spec = DEPLOYMENTS[name]
    teams = make_teams()
    deployment = fleet.Fleet(
        spec.domains,
        spec.vms_per_domain,
        spec.groups,
        teams=teams,
        has_fault_proxy=True,
        connections=spec.connections,
    )
    with deployment:
        for group in spec.groups:
            vm = next(iter(deployment.vms))
            deployment.write(vm, group, "CREATE TABLE t (x INTEGER)")
        deployment.set_link_delay(spec.between_ms / 2)
        return trio.run(run_phases, deployment, spec, teams)


def print_figures(name, results):
    """Print the figures of one deployment."""
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
        figures = results[phase]
        print(
            f"  {phase:<25} write gap {figures['write_gap_s']} s,"
            f" p99 {figures['p99_ms']} ms, refusals {figures['refusals']}"
            f" of {figures['requests']}"
        )


def main():
    """Measure the chosen deployments and print their figures."""
    parser = argparse.ArgumentParser(prog="standins.measure")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--json", help="also write the figures to this file")
    options = parser.parse_args()
    results = {}
    for name in options.deployment or DEPLOYMENTS:
        results[name] = measure_deployment(name)
        print_figures(name, results[name])
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=2)


if __name__ == "__main__":
    main()
