"""Writers that keep a history, and the oracle that judges it.

Every write inserts a number of its own. The oracle reads the database
group's log and every instance's list of executed requests.
"""

import http.client
import itertools
import threading
import time
import typing

_write_numbers = itertools.count(1)


class WriteRecord(typing.NamedTuple):
    """One write as its caller saw it; times in seconds."""

    number: int
    vm: str
    team: str
    started_at: float
    ended_at: float
    status: int
    code: str
    executed: str
    request_id: str


class Workers:
    """Threads, one for each given VM, until the block ends.

    Parameters
    ----------
    vms : sequence of str
        Names of VMs; they may repeat.
    """

    def __init__(self, vms):
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(vm,), daemon=True)
            for vm in vms
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, vm):
        raise NotImplementedError


class Writers(Workers):
    """Threads that write through given VMs until stopped.

    Parameters
    ----------
    deployment : standins.fleet.Fleet
        Where to write.
    vms : sequence of str
        One writer for each; names may repeat.
    group : str, optional
        The database group.
    pause_s : float, optional
        Time between a writer's writes.
    team : str, optional
        On whose behalf.
    """

    def __init__(
        self, deployment, vms, group="ledger", pause_s=0.05, team=None
    ):
        super().__init__(vms)
        self.deployment = deployment
        self.group = group
        self.pause_s = pause_s
        self.team = team or next(iter(deployment.teams))
        self.history = []

    def run_for(self, seconds):
        """Let the writers go on for a while."""
        time.sleep(seconds)

    def list_acknowledged(self):
        """Return the records of acknowledged writes."""
        return [item for item in self.history if item.status == 200]

    def get_longest_gap_s(self, vms=None):
        """Longest time between two acknowledgements at some VMs."""
        ended_at = sorted(
            item.ended_at
            for item in self.list_acknowledged()
            if vms is None or item.vm in vms
        )
        return max(b - a for a, b in itertools.pairwise(ended_at))

    def _run(self, vm):
        while not self._stopped.is_set():
            number = next(_write_numbers)
            started_at = time.monotonic()
            sql = f"INSERT INTO t VALUES ({number})"
            try:
                answer = self.deployment.write(
                    vm, self.group, sql, team=self.team
                )
                status, data = answer.status, answer.data
            except (OSError, http.client.HTTPException):
                status, data = 0, {}
            self.history.append(
                WriteRecord(
                    number,
                    vm,
                    self.team,
                    started_at,
                    time.monotonic(),
                    status,
                    data.get("code", ""),
                    data.get("executed", "unknown" if status != 200 else ""),
                    data.get("request_id", ""),
                )
            )
            self._stopped.wait(self.pause_s)


def create_table(deployment, group="ledger"):
    """Create the writers' table and wait until all replicas have it."""
    vm = next(iter(deployment.vms))
    answer = deployment.write(vm, group, "CREATE TABLE t (x INTEGER)")
    assert answer.status == 200, answer
    time.sleep(2 * deployment.lag_ms / 1000)


def list_committed_numbers(deployment, group="ledger"):
    """Return the numbers in the log of the newest primary, in order."""
    states = [
        deployment.set_target(name, target)
        for name, target in deployment.targets
        if name == group
    ]
    primaries = [state for state in states if state["role"] == "primary"]
    primary = max(primaries, key=lambda state: state["term"])
    return [
        int(sql.partition("(")[2].rstrip(")"))
        for entry in primary["log"]
        for sql, _ in entry[3]
        if sql.startswith("INSERT INTO t VALUES (")
    ]


def list_executed_ids(deployment, group="ledger"):
    """Return the ids of requests that any instance executed."""
    return {
        request_id
        for name, target in deployment.targets
        if name == group
        for request_id in deployment.set_target(name, target)["executed"]
    }


def check_history(deployment, history, group="ledger"):
    """Check that none is lost, none doubled and refusals are true."""
    numbers = list_committed_numbers(deployment, group)
    executed_ids = list_executed_ids(deployment, group)
    assert len(numbers) == len(set(numbers)), "a write was doubled"
    committed = set(numbers)
    for record in history:
        if record.status == 200:
            assert record.number in committed, f"lost: {record}"
        elif record.executed == "not run":
            assert record.number not in committed, f"run: {record}"
            assert record.request_id not in executed_ids, f"run: {record}"
