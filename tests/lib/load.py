"""Concurrent writers that record a history, and the check of that history.

Every write inserts a unique number. The check compares the history with
the log of the database group's primary and with the requests that each
instance has executed.
"""

import http.client
import itertools
import threading
import time
import typing

_write_numbers = itertools.count(1)


class WriteRecord(typing.NamedTuple):
    """Outcome of one write as its caller saw it.

    `started_at` and `ended_at` are clock times in seconds. `status` is the
    HTTP status, 0 if no answer arrived, and `executed` states whether the
    write was executed, ``unknown`` if the caller cannot tell.
    """

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
    """Worker threads, one per given VM, that run until the block ends.

    Parameters
    ----------
    vms : sequence of str
        Names of VMs; a repeated name gets several threads.
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
    """Threads that write through given VMs and record the outcomes.

    Parameters
    ----------
    deployment : standins.fleet.Fleet
        Deployment to write to.
    vms : sequence of str
        Names of VMs, each with a writer; a repeated name gets several.
    group : str, optional
        Database group to write to.
    pause_s : float, optional
        Pause of a writer between two writes, in seconds.
    team : str, optional
        Team whose key the writers use; the deployment's first by default.
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
        """Wait while the writers run."""
        time.sleep(seconds)

    def list_acknowledged(self):
        """Return the records of acknowledged writes."""
        return [item for item in self.history if item.status == 200]

    def get_longest_gap_s(self, vms=None):
        """Return the longest time between consecutive acknowledged writes.

        The time before the first and after the last one is not counted.

        Parameters
        ----------
        vms : collection of str, optional
            VMs whose writes count; all by default.

        Returns
        -------
        float
            Time in seconds.
        """
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
    """Create the writers' table and wait until every replica has it."""
    vm = next(iter(deployment.vms))
    answer = deployment.write(vm, group, "CREATE TABLE t (x INTEGER)")
    assert answer.status == 200, answer
    time.sleep(2 * deployment.lag_ms / 1000)


def list_committed_numbers(deployment, group="ledger"):
    """Return the numbers in the newest primary's log, in log order."""
    states = [
        deployment.set_target_faults(name, target)
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
    """Return the ids of the requests that some instance has executed."""
    return {
        request_id
        for name, target in deployment.targets
        if name == group
        for request_id in deployment.set_target_faults(name, target)[
            "executed"
        ]
    }


def check_history(deployment, history, group="ledger"):
    """Check a history against the state of a database group.

    No acknowledged write may be lost and none executed twice, and a write
    that was answered with ``not run`` must not have been executed.
    """
    numbers = list_committed_numbers(deployment, group)
    executed_ids = list_executed_ids(deployment, group)
    assert len(numbers) == len(set(numbers)), "a write was executed twice"
    committed = set(numbers)
    for record in history:
        if record.status == 200:
            assert record.number in committed, f"write lost: {record}"
        elif record.executed == "not run":
            assert record.number not in committed, f"executed: {record}"
            assert record.request_id not in executed_ids, f"executed: {record}"
