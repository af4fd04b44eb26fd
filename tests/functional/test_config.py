"""Propagation of configuration changes: key withdrawal, races, faults."""

import http.client
import json
import subprocess
import sys
import time

import pytest

from geraniumridge._internal.models import config
from standins import fleet

DOMAINS = ("a", "b", "c")
MAX_PROPAGATION_S = 8.0
"""Time within which a committed change must apply at every VM."""

TOOL_CODE = "from geraniumridge._internal.cli import tool; tool.main()"
"""Program that runs the operators' tool."""


@pytest.fixture(scope="module")
def deployment():
    """Run three domains behind the fault proxy, with two teams."""
    teams = {"coop": (1000.0, 1000), "dealer": (1000.0, 1000)}
    running = fleet.Fleet(
        DOMAINS, vms_per_domain=2, teams=teams, has_fault_proxy=True
    )
    with running:
        yield running


def start_tool(deployment, *arguments):
    """Start the operators' tool."""
    return subprocess.Popen(
        [sys.executable, "-c", TOOL_CODE, "--platform", deployment.platform]
        + ["--json", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=fleet.ROOT,
    )


def run_tool(deployment, *arguments):
    """Run the operators' tool; return exit code, stdout and stderr."""
    process = start_tool(deployment, *arguments)
    out, err = process.communicate(timeout=60)
    return process.returncode, out, err


def send_read(connection, key):
    """Send one read on an open connection and return the HTTP status."""
    body = json.dumps({"sql": "SELECT 1"})
    headers = {"Authorization": f"Bearer {key}"}
    path = "/v1/groups/ledger/statements"
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    response.read()
    return response.status


def list_versions(deployment, names=None):
    """Return the configuration version of each named VM, of all by default."""
    return [
        deployment.get_page(name, "/status")["config_version"]
        for name in names or deployment.vms
    ]


def test_withdrawn_key_is_refused_on_open_connections(deployment):
    code, out, err = run_tool(deployment, "keys", "issue", "dealer")
    assert code == 0, err
    key = json.loads(out)["key"]
    connections = {
        name: http.client.HTTPConnection(vm.callers, timeout=30)
        for name, vm in deployment.vms.items()
    }
    for connection in connections.values():
        fleet.wait_for(lambda: send_read(connection, key) == 200, "key works")
    code, _, err = run_tool(deployment, "keys", "withdraw", key)
    assert code == 0, err
    withdrawn_at = time.monotonic()
    for name, connection in connections.items():
        while send_read(connection, key) != 401:
            assert time.monotonic() - withdrawn_at < MAX_PROPAGATION_S, name
            time.sleep(0.02)


def test_withdrawn_key_ends_its_open_transaction(deployment):
    code, out, _ = run_tool(deployment, "keys", "issue", "dealer")
    deployment.keys["passing"] = json.loads(out)["key"]
    path = "/v1/groups/ledger/transactions"

    def begin():
        answer = deployment.send("b-1", path, {}, "passing")
        return answer.status == 200 and answer.data["transaction"]

    transaction = fleet.wait_for(begin, "transaction")
    run_tool(deployment, "keys", "withdraw", deployment.keys["passing"])
    step_path = f"/v1/transactions/{transaction}/statements"
    body = {"sql": "SELECT 1"}

    def is_refused():
        answer = deployment.send("a-1", step_path, body, "passing")
        return answer.status == 401

    fleet.wait_for(is_refused, "refusal", timeout_s=MAX_PROPAGATION_S)
    # The transaction must no longer block other writers.
    answer = deployment.write("a-1", "ledger", "CREATE TABLE u (x)")
    assert answer.status == 200, answer


def test_transaction_is_visible_only_to_its_own_team(deployment):
    path = "/v1/groups/ledger/transactions"
    begun = deployment.send("a-1", path, {}, "coop")
    assert begun.status == 200, begun
    transaction = begun.data["transaction"]
    for action in ("statements", "commit", "rollback"):
        body = {"sql": "SELECT 1"} if action == "statements" else None
        step_path = f"/v1/transactions/{transaction}/{action}"
        answer = deployment.send("b-2", step_path, body, "dealer")
        assert answer.data["code"] == "not-found", answer
    step_path = f"/v1/transactions/{transaction}/rollback"
    assert deployment.send("b-2", step_path, None, "coop").status == 200


def test_domain_without_platform_gets_config_from_peers(deployment):
    deployment.cut_links(("a", "platform"))
    try:
        code, out, err = run_tool(deployment, "plans", "set", "x", "plan-coop")
        assert code == 0, err
        version = json.loads(out)["version"]
        fleet.wait_for(
            lambda: min(list_versions(deployment)) >= version,
            "version in force everywhere",
            timeout_s=MAX_PROPAGATION_S,
        )
    finally:
        deployment.cut_links()


def test_concurrent_edits_commit_once_per_version(deployment):
    processes = [
        start_tool(deployment, "plans", "set", f"racer-{i}", "plan-coop")
        for i in range(6)
    ]
    results = [
        (process.communicate(timeout=60), process.returncode)
        for process in processes
    ]
    won_versions = [
        json.loads(out)["version"] for (out, _), code in results if not code
    ]
    lost_errors = [err for (_, err), code in results if code]
    assert won_versions and len(set(won_versions)) == len(won_versions)
    assert all(code in (0, 3) for _, code in results)
    assert all("change" in err for err in lost_errors)
    fleet.wait_for(
        lambda: set(list_versions(deployment)) == {max(won_versions)},
        "versions",
    )


def test_commit_succeeds_although_its_answer_is_lost(deployment):
    deployment.set_platform_faults(lose_answers=1)
    code, out, err = run_tool(deployment, "plans", "set", "y", "plan-coop")
    assert code == 0, err
    version = json.loads(out)["version"]
    fleet.wait_for(
        lambda: set(list_versions(deployment)) == {version}, "versions"
    )


def test_changes_lost_in_a_platform_restore_are_written_back(deployment):
    version_before = max(list_versions(deployment))
    change_keys = [
        f"config/changes/{number}"
        for number in (version_before, version_before - 1)
    ]
    fleet.request(
        deployment.platform, "PUT", "/admin/restore", {"forget": change_keys}
    )

    def is_repaired():
        answer = fleet.request(
            deployment.platform, "GET", f"/kv/{change_keys[0]}"
        )
        return answer.data["revision"] > 0

    # Only VMs that read the platform check for lost changes: before their
    # first watch and whenever a watch ends.
    fleet.wait_for(is_repaired, "repair", timeout_s=40)
    assert min(list_versions(deployment)) == version_before
    code, out, err = run_tool(deployment, "plans", "set", "z", "plan-coop")
    assert json.loads(out)["version"] == version_before + 1, err


def test_invalid_change_is_ignored_by_every_vm(deployment):
    version = max(list_versions(deployment))
    key_hash = config.hash_key("never issued")
    edits = [
        {"section": "keys", "name": key_hash, "value": {"team": "nobody"}}
    ]
    code, out, _ = run_tool(deployment, "--json", "status")
    last = fleet.request(
        deployment.platform, "GET", f"/kv/config/changes/{version}"
    ).data["value"]
    change = {**json.loads(last), "version": version + 1, "edits": edits}
    body = {"value": json.dumps(change), "expected_revision": 0}
    path = f"/kv/config/changes/{version + 1}"
    fleet.request(deployment.platform, "PUT", path, body)
    time.sleep(2)
    # The change names a wrong predecessor: VMs must ignore it and go on.
    assert set(list_versions(deployment)) == {version}
    assert deployment.read("a-1", "ledger", "SELECT 1").status == 200
