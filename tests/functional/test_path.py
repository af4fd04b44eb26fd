"""Requests of callers to a deployment of two domains and four daemons."""

import json
import signal

import pytest

from standins import fleet


@pytest.fixture(scope="module")
def deployment():
    """Run a fleet that has a table."""
    with fleet.Fleet() as running:
        answer = running.write(
            "north-1", "ledger", "CREATE TABLE t (x INTEGER)"
        )
        assert answer.status == 200, answer
        yield running


def test_session_reads_its_own_writes_on_every_vm(deployment):
    token = ""
    for number in range(8):
        writer = f"{('north', 'south')[number % 2]}-1"
        sql = f"INSERT INTO t VALUES ({number})"
        answer = deployment.write(writer, "ledger", sql, token=token)
        assert answer.status == 200, answer
        token = answer.session
        for reader in deployment.vms:
            sql = f"SELECT x FROM t WHERE x = {number}"
            found = deployment.read(reader, "ledger", sql, token=token)
            assert found.data.get("rows") == [[number]], found


def test_transaction_is_atomic(deployment):
    path = "/v1/groups/ledger/transactions"
    for end, expected in (("rollback", []), ("commit", [[100], [101]])):
        begun = deployment.send("south-1", path, {})
        assert begun.status == 200, begun
        transaction = begun.data["transaction"]
        for value in (100, 101):
            body = {"sql": f"INSERT INTO t VALUES ({value})", "mode": "write"}
            step_path = f"/v1/transactions/{transaction}/statements"
            assert deployment.send("north-2", step_path, body).status == 200
        ended = deployment.send(
            "north-1", f"/v1/transactions/{transaction}/{end}"
        )
        assert ended.status == 200, ended
        sql = "SELECT x FROM t WHERE x >= 100 ORDER BY x"
        found = deployment.read("south-2", "ledger", sql, max_staleness_ms=0)
        assert found.data["rows"] == expected


def test_repeated_request_with_idempotency_key_runs_once(deployment):
    sql = "INSERT INTO t VALUES (500)"
    for name in ("north-1", "south-2", "north-2"):
        answer = deployment.write(
            name, "ledger", sql, idempotency_key="booking-500"
        )
        assert answer.status == 200
    sql = "SELECT count(*) FROM t WHERE x = 500"
    found = deployment.read("south-1", "ledger", sql, max_staleness_ms=0)
    assert found.data["rows"] == [[1]]


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "code"),
    [
        ("/v1/nowhere", {}, {}, 404, "not-found"),
        ("/v1/groups/absent/statements", {"sql": "x"}, {}, 404, "not-found"),
        ("/v1/groups/ledger/statements", {}, {}, 400, "bad-request"),
        (
            "/v1/groups/ledger/statements",
            {"sql": "SELECT 1", "nonsense": 1},
            {},
            400,
            "bad-request",
        ),
        (
            "/v1/groups/ledger/statements",
            {"sql": "SELECT 1"},
            {"Authorization": "Bearer unknown"},
            401,
            "unauthorized",
        ),
        (
            "/v1/groups/ledger/statements",
            {"sql": "SELECT 1"},
            {"Geraniumridge-Session": "!!"},
            400,
            "bad-request",
        ),
        (
            "/v1/groups/ledger/statements",
            {"sql": "x" * 1_100_000},
            {},
            413,
            "too-large",
        ),
        (
            "/v1/groups/ledger/statements",
            {"sql": "SELECT 1"},
            {"Idempotency-Key": "x" * 30_000},
            413,
            "too-large",
        ),
        (
            "/v1/groups/ledger/statements",
            {"sql": "DROP TABLE t"},
            {},
            422,
            "statement-rejected",
        ),
    ],
)
def test_bad_request_is_refused_with_its_error_code(
    deployment, path, body, headers, status, code
):
    answer = deployment.send("north-1", path, body, headers=headers)
    assert (answer.status, answer.data["code"]) == (status, code)
    assert answer.data["executed"] in ("not run", "rolled back")
    assert answer.data["detail"]


def test_targets_receive_no_api_key(deployment):
    for _, target in deployment.targets:
        state = deployment.set_target_faults("ledger", target)
        assert deployment.keys["coop"] not in json.dumps(state)


def test_sigterm_exits_with_status_zero(deployment):
    vm = deployment.add_vm("north-9", "north")
    deployment.start_vm(vm.name)
    deployment.wait_ready(vm.name)
    deployment.signal(vm.name, signal.SIGTERM)
    assert deployment.processes[vm.name].wait(timeout=20) == 0
