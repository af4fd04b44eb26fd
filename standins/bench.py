"""Benchmark of one and of two daemons against direct calls of a target.

Run as ``python -m standins.bench``. The same client reads from a
target directly, through the daemon that is its gateway, and through
another daemon: in a closed loop to measure latency, at a fixed rate to
measure processor time.
"""

import argparse
import functools
import json
import os
import statistics
import time

import msgspec
import trio

from geraniumridge._internal.network import http
from standins import fleet
from standins import loadgen

LATENCY_REQUEST_COUNT = 1500
"""Requests of the closed loop; the first tenth of them isn't measured."""

RATE_PER_S = 426
"""Requests per second of the measurement at a fixed rate."""

RATE_DURATION_S = 8
"""Duration of the measurement at a fixed rate."""

MAX_IN_FLIGHT = 16
"""Largest number of concurrent requests in that measurement."""

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
"""Unit of the processor times in ``/proc``."""


def read_cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid):
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def make_request(path, key):
    """Return path, body and headers of the measured request.

    A path under ``/v1`` is a daemon's, any other the target's.
    """
    body = msgspec.json.encode(
        {
            "sql": "SELECT 1",
            "mode": "read",
            "params": [],
            "request_id": "bench",
            "max_staleness_ms": 60_000,
        }
    )
    if not path.startswith("/v1"):
        return path, body, ()
    body = b'{"sql": "SELECT 1", "max_staleness_ms": 60000}'
    return path, body, (("Authorization", f"Bearer {key}"),)


async def time_requests(address, request):
    """Send requests in a closed loop; return latencies in milliseconds."""
    path, body, headers = request
    client = await http.open_client(address)
    latencies = []
    for _ in range(LATENCY_REQUEST_COUNT):
        started_at = time.perf_counter()
        response = await client.request("POST", path, body, headers)
        latencies.append((time.perf_counter() - started_at) * 1000)
        assert response.status == 200, response
    await client.close()
    return latencies[LATENCY_REQUEST_COUNT // 10 :]


async def send_at_rate(address, request, duration_s):
    """Send requests at the fixed rate; return latencies in milliseconds.

    Latencies include the time to open a connection. While `MAX_IN_FLIGHT`
    requests are unanswered, the sender falls behind the rate; the time
    for which a request waits to be sent isn't part of its latency.
    """
    path, body, headers = request
    idle_clients = []
    latencies = []
    in_flight = trio.Semaphore(MAX_IN_FLIGHT)

    async def send():
        started_at = time.perf_counter()
        client = (
            idle_clients.pop()
            if idle_clients
            else await http.open_client(address)
        )
        response = await client.request("POST", path, body, headers)
        assert response.status == 200, response
        idle_clients.append(client)
        latencies.append((time.perf_counter() - started_at) * 1000)
        in_flight.release()

    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        for number in range(int(RATE_PER_S * duration_s)):
            await trio.sleep_until(started_at + number / RATE_PER_S)
            await in_flight.acquire()
            nursery.start_soon(send)
    return latencies


def measure_rate(deployment, address, request, daemons):
    """Measure latency and the daemons' resource use at the fixed rate."""
    pids = {name: deployment.processes[name].pid for name in daemons}
    cpu_before = {name: read_cpu_s(pid) for name, pid in pids.items()}
    started_at = time.monotonic()
    send = functools.partial(send_at_rate, address, request, RATE_DURATION_S)
    latencies = trio.run(send)
    elapsed_s = time.monotonic() - started_at
    cores = {
        name: round((read_cpu_s(pid) - cpu_before[name]) / elapsed_s, 3)
        for name, pid in pids.items()
    }
    return {
        "per_s": round(len(latencies) / elapsed_s, 1),
        "p50_ms": round(statistics.median(latencies), 2),
        "p99_ms": round(loadgen.get_percentile(latencies, 99), 2),
        "cores": cores,
        "memory_mb": {
            name: round(read_memory_mb(pid), 1) for name, pid in pids.items()
        },
    }


def measure_paths(deployment):
    """Measure each path to a target and return the figures by path."""
    target = deployment.targets["ledger", "ledger-a"]
    gateway = next(
        name
        for name in deployment.vms
        if deployment.get_page(name, "/status")["targets"]
    )
    other = next(name for name in deployment.vms if name != gateway)
    path = "/v1/groups/ledger/statements"
    key = deployment.keys["coop"]
    paths = {
        "direct": (target, make_request("/statement", key), ()),
        "one daemon": (
            deployment.vms[gateway].callers,
            make_request(path, key),
            (gateway,),
        ),
        "two daemons": (
            deployment.vms[other].callers,
            make_request(path, key),
            (other, gateway),
        ),
    }
    results = {}
    for name, (address, request, daemons) in paths.items():
        latencies = trio.run(time_requests, address, request)
        results[name] = {
            "median_ms": round(statistics.median(latencies), 3),
            "at_rate": measure_rate(deployment, address, request, daemons),
        }
    direct = results["direct"]["median_ms"]
    for item in results.values():
        item["added_ms"] = round(item["median_ms"] - direct, 3)
    return results


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(prog="standins.bench")
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args()
    teams = {"coop": (100_000.0, 100_000)}
    with fleet.Fleet(("a",), 2, teams=teams, service_ms=0) as deployment:
        results = measure_paths(deployment)
    if options.json:
        print(json.dumps(results, indent=2))
        return
    for name, item in results.items():
        rate = item["at_rate"]
        print(
            f"{name:<12} median {item['median_ms']:.2f} ms"
            f" (added {item['added_ms']:.2f} ms);"
            f" at {rate['per_s']}/s p50 {rate['p50_ms']} ms,"
            f" p99 {rate['p99_ms']} ms, cores {rate['cores']},"
            f" MB {rate['memory_mb']}"
        )


if __name__ == "__main__":
    main()
