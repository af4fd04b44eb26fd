"""Stopped VMs, and domains and targets out of service, under load."""

import signal
import time

from lib import load
from standins import fleet

DOMAINS = ("a", "b", "c")
MAX_DRAIN_S = 5.0
"""Time after which a domain out of service gets no new requests."""


def count_executed(deployment, target):
    """Return how many requests an instance has executed."""
    return len(deployment.set_target_faults("ledger", target)["executed"])


def test_domain_out_of_service_gets_no_new_requests_and_loses_none():
    with fleet.Fleet(DOMAINS, vms_per_domain=2) as deployment:
        load.create_table(deployment)
        vms = list(deployment.vms)
        with load.Writers(deployment, vms) as writers:
            writers.run_for(2)
            deployment.edit_config("domains", "a", {"in_service": False})
            time.sleep(MAX_DRAIN_S)
            executed_before = count_executed(deployment, "ledger-a")
            for _ in range(40):
                deployment.read("a-1", "ledger", "SELECT count(*) FROM t")
            writers.run_for(3)
            assert count_executed(deployment, "ledger-a") == executed_before
            deployment.edit_config("domains", "a", {"in_service": True})
            writers.run_for(4)
            for _ in range(40):
                deployment.read("a-1", "ledger", "SELECT count(*) FROM t")
            assert count_executed(deployment, "ledger-a") > executed_before
        load.check_history(deployment, writers.history)
        assert [item for item in writers.history if item.status != 200] == []
        assert deployment.get_primary("ledger") != "ledger-a"


def test_primary_out_of_service_is_replaced():
    with fleet.Fleet(DOMAINS, vms_per_domain=2) as deployment:
        load.create_table(deployment)
        with load.Writers(deployment, list(deployment.vms)) as writers:
            writers.run_for(1)
            document = deployment.make_config()
            group = document["groups"]["ledger"]
            group["targets"]["ledger-a"]["in_service"] = False
            deployment.edit_config("groups", "ledger", group)
            writers.run_for(6)
        load.check_history(deployment, writers.history)
        assert [item for item in writers.history if item.status != 200] == []
        assert deployment.get_primary("ledger") != "ledger-a"


def test_rolling_sigterm_fails_no_request():
    with fleet.Fleet(DOMAINS[:2], vms_per_domain=3) as deployment:
        load.create_table(deployment)
        staying = ["a-3", "b-3"]
        with load.Writers(deployment, staying * 2) as writers:
            writers.run_for(1)
            for name in ("a-1", "b-1", "a-2", "b-2"):
                deployment.signal(name, signal.SIGTERM)
                assert deployment.processes[name].wait(timeout=30) == 0
                writers.run_for(1)
        load.check_history(deployment, writers.history)
        assert [item for item in writers.history if item.status != 200] == []


def test_transaction_of_a_killed_vm_is_rolled_back():
    with fleet.Fleet(DOMAINS[:2], vms_per_domain=2) as deployment:
        load.create_table(deployment)
        path = "/v1/groups/ledger/transactions"
        begun = deployment.send("b-1", path, {})
        # The name starts with that of the VM which runs the transaction.
        transaction = begun.data["transaction"]
        step_path = f"/v1/transactions/{transaction}/statements"
        body = {"sql": "INSERT INTO t VALUES (1)", "mode": "write"}
        assert deployment.send("b-1", step_path, body).status == 200
        deployment.kill(transaction.partition("~")[0])
        survivor = next(
            vm for vm in ("a-1", "a-2") if vm != transaction.partition("~")[0]
        )

        def is_written():
            sql = "INSERT INTO t VALUES (2)"
            return deployment.write(survivor, "ledger", sql).status == 200

        fleet.wait_for(is_written, "a write after the kill", timeout_s=40)
        assert 1 not in load.list_committed_numbers(deployment)
        answer = deployment.send("b-1", step_path, body)
        assert answer.status != 200
