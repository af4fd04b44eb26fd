"""Distribution of configuration changes to all VMs.

The tests cover withdrawn keys, a domain without the platform, concurrent
commits, and a platform that loses answers or changes.
"""

import http.client
import json
import subprocess
import sys
import time

import pytest

from geraniumridge._internal.models import config
from standins import fleet

DOMAINS = ("a", "b", "c")
IN_FORCE_LIMIT_S = 8.0
TOOL = "from geraniumridge._internal.cli import tool; tool.main()"


@pytest.fixture(scope="module")
def deployment():
    """Three domains behind the fault proxy, with two teams."""
    teams = {"coop": (1000.0, 1000), "dealer": (1000.0, 1000)}
    running = fleet.Fleet(
        DOMAINS, vms_per_domain=2, teams=teams, has_fault_proxy=True
    )
    with running:
        yield running


def start_tool(deployment, *arguments):
    """Start the operators' tool."""
    return subprocess.Popen(
        [sys.executable, "-c", TOOL, "--platform", deployment.platform]
        + ["--json", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=fleet.ROOT,
    )


def run_tool(deployment, *arguments):
    """Run the operators' tool; return its exit code, output and errors."""
    process = start_tool(deployment, *arguments)
    out, err = process.communicate(timeout=60)
    return process.returncode, out, err


def call(connection, key):
    """Send one read on an open connection; return the HTTP status."""
    body = json.dumps({"sql": "SELECT 1"})
    headers = {"Authorization": f"Bearer {key}"}
    path = "/v1/groups/ledger/statements"
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    response.read()
    return response.status


def get_versions(deployment, names=None):
    """Return the configuration version of each VM."""
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
        fleet.wait_for(lambda: call(connection, key) == 200, "key works")
    code, _, err = run_tool(deployment, "keys", "withdraw", key)
    assert code == 0, err
    withdrawn_at = time.monotonic()
    for name, connection in connections.items():
        while call(connection, key) != 401:
            assert time.monotonic() - withdrawn_at < IN_FORCE_LIMIT_S, name
            time.sleep(0.02)


def test_withdrawn_key_ends_its_open_transaction(deployment):
    code, out, _ = run_tool(deployment, "keys", "issue", "dealer")
    deployment.keys["passing"] = json.loads(out)["key"]
    path = "/v1/groups/ledger/transactions"

    def begin():
        answer = deployment.send("b-1", path, {}, "passing")
        return answer.status == 200 and answer.data["transaction"]

    name = fleet.wait_for(begin, "transaction")
    run_tool(deployment, "keys", "withdraw", deployment.keys["passing"])
    step = f"/v1/transactions/{name}/statements"
    body = {"sql": "SELECT 1"}

    def is_refused():
        answer = deployment.send("a-1", step, body, "passing")
        return answer.status == 401

    fleet.wait_for(is_refused, "refusal", timeout_s=IN_FORCE_LIMIT_S)
    # The transaction must not hold up other writers.
    answer = deployment.write("a-1", "ledger", "CREATE TABLE u (x)")
    assert answer.status == 200, answer


def test_transaction_serves_only_its_own_team(deployment):
    path = "/v1/groups/ledger/transactions"
    begun = deployment.send("a-1", path, {}, "coop")
    assert begun.status == 200, begun
    name = begun.data["transaction"]
    for action in ("statements", "commit", "rollback"):
        body = {"sql": "SELECT 1"} if action == "statements" else None
        step = f"/v1/transactions/{name}/{action}"
        answer = deployment.send("b-2", step, body, "dealer")
        assert answer.data["code"] == "not-found", answer
    step = f"/v1/transactions/{name}/rollback"
    assert deployment.send("b-2", step, None, "coop").status == 200


def test_domain_without_platform_fetches_changes_from_its_peers(deployment):
    deployment.cut_links(("a", "platform"))
    try:
        code, out, err = run_tool(deployment, "plans", "set", "x", "plan-coop")
        assert code == 0, err
        version = json.loads(out)["version"]
        fleet.wait_for(
            lambda: min(get_versions(deployment)) >= version,
            "version in force everywhere",
            timeout_s=IN_FORCE_LIMIT_S,
        )
    finally:
        deployment.cut_links()


def test_concurrent_commits_get_distinct_versions(deployment):
    processes = [
        start_tool(deployment, "plans", "set", f"racer-{i}", "plan-coop")
        for i in range(6)
    ]
    results = [
        (process.communicate(timeout=60), process.returncode)
        for process in processes
    ]
    won = [
        json.loads(out)["version"] for (out, _), code in results if not code
    ]
    lost = [err for (_, err), code in results if code]
    assert won and len(set(won)) == len(won)
    assert all(code in (0, 3) for _, code in results)
    assert all("change" in err for err in lost)
    fleet.wait_for(
        lambda: set(get_versions(deployment)) == {max(won)}, "versions"
    )


def test_commit_with_a_lost_answer_is_found_in_the_platform(deployment):
    deployment.set_platform_faults(lose_answers=1)
    code, out, err = run_tool(deployment, "plans", "set", "y", "plan-coop")
    assert code == 0, err
    version = json.loads(out)["version"]
    fleet.wait_for(
        lambda: set(get_versions(deployment)) == {version}, "versions"
    )


def test_changes_lost_by_the_platform_are_written_back(deployment):
    before = max(get_versions(deployment))
    keys = [f"config/changes/{number}" for number in (before, before - 1)]
    fleet.request(
        deployment.platform, "PUT", "/admin/restore", {"forget": keys}
    )

    def is_repaired():
        answer = fleet.request(deployment.platform, "GET", f"/kv/{keys[0]}")
        return answer.data["revision"] > 0

    # Leaders of cells check the platform after each watch, so it can take
    # as long as a watch.
    fleet.wait_for(is_repaired, "repair", timeout_s=40)
    assert min(get_versions(deployment)) == before
    code, out, err = run_tool(deployment, "plans", "set", "z", "plan-coop")
    assert json.loads(out)["version"] == before + 1, err


def test_change_of_another_chain_is_ignored_by_all_vms(deployment):
    version = max(get_versions(deployment))
    digest = config.hash_key("never issued")
    edits = [{"section": "keys", "name": digest, "value": {"team": "nobody"}}]
    code, out, _ = run_tool(deployment, "--json", "status")
    last = fleet.request(
        deployment.platform, "GET", f"/kv/config/changes/{version}"
    ).data["value"]
    change = {**json.loads(last), "version": version + 1, "edits": edits}
    body = {"value": json.dumps(change), "expected_revision": 0}
    path = f"/kv/config/changes/{version + 1}"
    fleet.request(deployment.platform, "PUT", path, body)
    time.sleep(2)
    # The change names a wrong predecessor; no VM may accept it or stop.
    assert set(get_versions(deployment)) == {version}
    assert deployment.read("a-1", "ledger", "SELECT 1").status == 200
