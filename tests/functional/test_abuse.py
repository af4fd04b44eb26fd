"""Misbehaving callers, which must not slow down other callers."""

import contextlib
import socket
import threading
import time

import pytest

from lib import load
from standins import fleet

MAX_READ_TIME_S = 2.0
"""Bound on a read of a well-behaved caller during the misbehaviour."""


@pytest.fixture(scope="module")
def deployment():
    """Run one domain with two VMs."""
    with fleet.Fleet(("a",), vms_per_domain=2) as running:
        yield running


def open_connections(address, count):
    """Open raw TCP connections to a VM's address."""
    host, _, port = address.rpartition(":")
    return [
        socket.create_connection((host, int(port)), timeout=10)
        for _ in range(count)
    ]


def check_read_time(deployment):
    """Check that reads of a well-behaved caller succeed in time."""
    slowest = 0.0
    for _ in range(30):
        started_at = time.monotonic()
        answer = deployment.read("a-1", "ledger", "SELECT 1")
        slowest = max(slowest, time.monotonic() - started_at)
        assert answer.status == 200
    assert slowest < MAX_READ_TIME_S


def test_thousand_idle_connections(deployment):
    address = deployment.vms["a-1"].callers
    with contextlib.ExitStack() as stack:
        for connection in open_connections(address, 1000):
            stack.enter_context(connection)
        check_read_time(deployment)


def test_half_sent_requests(deployment):
    address = deployment.vms["a-1"].callers
    partial = b"POST /v1/groups/ledger/statements HTTP/1.1\r\nHost: x\r\nConte"
    with contextlib.ExitStack() as stack:
        for connection in open_connections(address, 200):
            stack.enter_context(connection)
            connection.sendall(partial)
        check_read_time(deployment)


def test_callers_that_do_not_read_their_answers(deployment):
    address = deployment.vms["a-1"].callers
    key = deployment.keys["coop"]
    body = b'{"sql": "SELECT hex(zeroblob(200000))"}'
    head = (
        "POST /v1/groups/ledger/statements HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with contextlib.ExitStack() as stack:
        for connection in open_connections(address, 30):
            stack.enter_context(connection)
            connection.sendall((head.encode() + body) * 5)
        check_read_time(deployment)


def test_flood_of_bad_keys(deployment):
    stopped = threading.Event()
    deployment.keys["stranger"] = "wrong"

    def flood():
        while not stopped.is_set():
            answer = deployment.read("a-1", "ledger", "SELECT 1", "stranger")
            assert answer.status == 401

    threads = [threading.Thread(target=flood) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        check_read_time(deployment)
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


def test_connection_limit_of_a_target_is_kept(deployment):
    load.create_table(deployment)
    vms = list(deployment.vms) * 15
    with load.Writers(deployment, vms, pause_s=0.0) as writers:
        writers.run_for(3)
    state = deployment.set_target_faults("ledger", "ledger-a")
    # A gateway uses at most half of the target's limit of 20 connections,
    # as another one may still be connected while the target moves.
    assert state["peak_connections"] <= 10
    load.check_history(deployment, writers.history)
