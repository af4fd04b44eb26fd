"""Measurements of how resource use grows with a deployment's size.

Run as ``python -m standins.slopes``; prints the measured points and the
slopes, from which docs/CAPACITY.md computes the use at the size that is
expected in two years.
"""

import argparse
import json
import socket
import time
import tracemalloc

from geraniumridge._internal.decisions import chain
from geraniumridge._internal.models import config
from standins import bench
from standins import fleet

CELL_SIZES = (2, 4, 8, 16)
"""Numbers of daemons in the measured cells."""

CONNECTION_COUNTS = (100, 500, 1000, 2000)
"""Numbers of idle connections at which memory is measured."""

CONFIG_SIZES = (10, 100, 1000)
"""Numbers of teams, and of groups, in the measured configurations."""

IDLE_WAIT_S = 6
"""Time from the start of a cell to its first reading."""

READING_INTERVAL_S = 8
"""Time between the two readings of a cell."""


def measure_cell(size):
    """Measure an idle cell of daemons; return use per second by role."""
    with fleet.Fleet(("a",), size) as deployment:
        time.sleep(IDLE_WAIT_S)
        first_readings = read_daemons(deployment)
        # The platform's counters first, then calls per second.
        calls = deployment.set_platform_faults()
        time.sleep(READING_INTERVAL_S)
        last_readings = read_daemons(deployment)
        calls = {
            name: (count - calls[name]) / READING_INTERVAL_S
            for name, count in deployment.set_platform_faults().items()
        }
        leader = next(
            name
            for name in deployment.vms
            if deployment.get_page(name, "/status")["is_leader"]
        )
    rows = {}
    for name, first_reading in first_readings.items():
        role = "leader" if name == leader else "member"
        rows.setdefault(role, []).append(
            {
                key: (last_readings[name][key] - first_reading[key])
                / READING_INTERVAL_S
                for key in first_reading
            }
        )
    figures = {
        role: {
            key: round(sum(row[key] for row in items) / len(items), 4)
            for key in items[0]
        }
        for role, items in rows.items()
    }
    return {"size": size, "platform_calls_per_s": calls, **figures}


def read_daemons(deployment):
    """Return each daemon's processor time in seconds, bytes and frames."""
    readings = {}
    for name in deployment.vms:
        traffic = deployment.get_page(name, "/metrics")["traffic"]
        readings[name] = {
            "cpu": bench.read_cpu_s(deployment.processes[name].pid),
            "bytes": traffic["sent_bytes"] + traffic["received_bytes"],
            "frames": traffic["frames"],
        }
    return readings


def measure_connections():
    """Measure a daemon's memory by number of idle callers' connections.

    Returns pairs of a number of connections and megabytes.
    """
    rows = []
    with fleet.Fleet(("a",), 1) as deployment:
        vm = next(iter(deployment.vms))
        host, _, port = deployment.vms[vm].callers.rpartition(":")
        pid = deployment.processes[vm].pid
        rows.append((0, bench.read_memory_mb(pid)))
        client_sockets = []
        for count in CONNECTION_COUNTS:
            while len(client_sockets) < count:
                client_sockets.append(
                    socket.create_connection((host, int(port)))
                )
            time.sleep(1)
            rows.append((count, bench.read_memory_mb(pid)))
        for client_socket in client_sockets:
            client_socket.close()
    return rows


def make_edits(size):
    """Yield edits for some number of teams with keys, and of groups."""
    targets = {
        f"t{index}": {"address": "127.0.0.1:1", "domain": "a"}
        for index in range(3)
    }
    yield config.Edit("domains", "a", {})
    plan = {"rate_per_s": 10.0, "burst": 10, "groups": {}}
    yield config.Edit("use", "plan", plan)
    for number in range(size):
        yield config.Edit("groups", f"group-{number}", {"targets": targets})
        yield config.Edit("plans", f"team-{number}", "plan")
        digest = config.hash_key(str(number))
        yield config.Edit("keys", digest, {"team": f"team-{number}"})


def measure_config(size):
    """Measure a configuration's memory and size, and a change's time."""
    edits = tuple(make_edits(size))
    config_chain = chain.ConfigChain()
    tracemalloc.start()
    config_chain.accept(
        config.Change(1, chain.FIRST_PREVIOUS_HASH, "x", "y", edits)
    )
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    edit = config.Edit("plans", "team-0", "plan")
    change = config.Change(2, config_chain.snapshot.hash, "x", "y", (edit,))
    started_at = time.perf_counter()
    config_chain.accept(change)
    return {
        "size": size,
        "memory_kb": round(memory_bytes / 1024, 1),
        "change_ms": round((time.perf_counter() - started_at) * 1000, 2),
        "snapshot_kb": round(
            len(chain.encode_snapshot(config_chain.snapshot)) / 1024, 1
        ),
    }


def get_slope(points):
    """Return the least-squares slope of pairs of x and y."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance_sum / sum((x - mean_x) ** 2 for x, _ in points)


def main():
    """Measure cells, connections and configurations; print JSON."""
    parser = argparse.ArgumentParser(prog="standins.slopes")
    parser.add_argument(
        "--cells", type=int, nargs="*", default=list(CELL_SIZES)
    )
    options = parser.parse_args()
    cells = [measure_cell(size) for size in options.cells]
    connections = measure_connections()
    slopes = {
        "connection_kb": round(get_slope(connections) * 1024, 2),
        "daemon_mb": round(connections[0][1], 1),
    }
    if len(cells) > 1:
        for key in ("cpu", "bytes", "frames"):
            points = [(row["size"], row["leader"][key]) for row in cells]
            slopes[f"leader_{key}_per_member"] = round(get_slope(points), 5)
    result = {
        "cells": cells,
        "connections": connections,
        "configurations": [measure_config(size) for size in CONFIG_SIZES],
        "slopes": slopes,
    }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
