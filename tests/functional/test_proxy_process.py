"""The proxy as a process: start, signals, logs and `explain`."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys

import pytest
import trio

from geraniumridge._internal.network import http
from geraniumridge._internal.proxy import failover
from lib import proxies
from lib.proxies import is_success

ROOT = pathlib.Path(__file__).parents[2]
RUN = ROOT / "platform" / "run.py"
SETTINGS = """
[vm]
name = "vm-1"
domain = "north"
ip = "127.0.0.1"
[listen]
callers = "{callers}"
ready = "{ready}"
metrics = "{metrics}"
first_peer_port = {port}
last_peer_port = {port}
[platform]
store = "{store}"
duties = "{duties}"
[bounds]
stop_grace_s = 3.0
"""


class ProxyProcess:
    """One proxy process with its settings and log."""

    def __init__(self, cluster, folder):
        settings = cluster.make_settings("vm-1", "north")
        self.listen = settings.listen._replace(metrics=proxies.find_address())
        self.path = folder / "settings.toml"
        self.path.write_text(
            SETTINGS.format(
                callers=self.listen.callers,
                ready=self.listen.ready,
                metrics=self.listen.metrics,
                port=self.listen.first_peer_port,
                store=settings.platform.store,
                duties=settings.platform.duties,
            )
        )
        self.log = folder / "log"
        with open(self.log, "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(RUN)],
                env={**os.environ, "GERANIUMRIDGE_BOOT": str(self.path)},
                stdout=output,
            )

    async def fetch(self, address, path):
        """Return status and body of a page."""
        response = await http.fetch(address, "GET", path)
        return response.status, response.body.decode()

    async def wait_ready(self):
        """Wait until the readiness probe succeeds."""
        with trio.fail_after(10):
            while True:
                with contextlib.suppress(Exception):
                    status, _ = await self.fetch(self.listen.ready, "/-/ready")
                    if status == 200:
                        return await trio.sleep(0.3)
                await trio.sleep(0.05)

    async def connect(self, database="orders"):
        """Return a caller with an open session."""
        caller = proxies.Caller(self.listen.callers)
        await caller.open()
        assert await caller.start_session(database, "key") == "READY I -"
        return caller

    def explain(self, request):
        """Run the `explain` command on a request and return its output."""
        tool = pathlib.Path(sys.executable).with_name("geraniumridge")
        command = [tool, "--json", "explain", request, self.log]
        done = subprocess.run(command, capture_output=True, text=True)
        assert done.returncode == 0, done.stderr
        return done.stdout

    def kill(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def run_process(test, folder):
    """Run an async test with one proxy process in a cluster."""

    async def main():
        async with proxies.open_cluster() as cluster:
            process = ProxyProcess(cluster, folder)
            try:
                await process.wait_ready()
                await test(cluster, process)
            finally:
                process.kill()

    trio.run(main)


async def change_config(cluster, **fields):
    """Change fields of the configuration and wait until it is known."""
    cluster.store.put("op/config", proxies.make_config(2, **fields))
    await trio.sleep(1.0)


async def wait_exit(process, timeout_s):
    """Wait until a proxy process has ended; return its exit status."""
    with trio.fail_after(timeout_s):
        while process.process.poll() is None:
            await trio.sleep(0.02)
    return process.process.returncode


def test_graceful_stop_lets_a_transaction_finish(tmp_path):
    async def test(cluster, process):
        idle = await process.connect()
        caller = await process.connect()
        await caller.query("BEGIN")
        assert is_success(await caller.query("WRITE a 1"))
        process.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.2)
        assert await idle.read_line() is None
        status, _ = await process.fetch(process.listen.ready, "/-/ready")
        assert status == 503
        assert is_success(await caller.query("COMMIT"))
        assert await caller.read_line() is None
        assert await wait_exit(process, 4) == 0
        assert cluster.group.instances["i-0"].data == {"a": "1"}
        assert not [k for k in cluster.store.items if "/members/" in k]

    run_process(test, tmp_path)


def test_graceful_stop_ends_despite_an_open_transaction(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        await caller.query("BEGIN")
        await caller.query("WRITE a 1")
        process.process.send_signal(signal.SIGTERM)
        assert await wait_exit(process, 3.5) == 0
        assert not cluster.group.instances["i-0"].data

    run_process(test, tmp_path)


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
def test_graceful_stop_answers_a_statement_that_a_target_still_runs(
    tmp_path, text
):
    async def test(cluster, process):
        routes = [
            {**route, "timeoutMs": 3000}
            for route in proxies.make_config()["routes"]
        ]
        await change_config(cluster, routes=routes)
        for item in cluster.group.instances.values():
            item.statement_time_s = 2.0
        caller = await process.connect()

        async def stop():
            await trio.sleep(0.3)
            process.process.send_signal(signal.SIGTERM)

        cluster.nursery.start_soon(stop)
        lines = await caller.query_all(text)
        assert lines[-1] is not None
        assert is_success(lines[:-1])
        assert await wait_exit(process, 1) == 0

    run_process(test, tmp_path)


def test_graceful_stop_refuses_new_sessions(tmp_path):
    """A caller that gets READY would send its statement to a closed end."""

    async def test(cluster, process):
        caller = await process.connect()
        await caller.query("BEGIN")
        process.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.2)
        late = proxies.Caller(process.listen.callers)
        await late.open()
        answer = await late.start_session("orders", "key")
        assert answer.startswith("ERROR BUSY")
        assert is_success(await caller.query("COMMIT"))

    run_process(test, tmp_path)


def test_graceful_stop_ends_in_time_despite_many_silent_transactions(
    tmp_path,
):
    async def test(cluster, process):
        await change_config(cluster, limits={"txIdleMs": 10_000})
        callers = [await process.connect() for _ in range(5)]
        for caller in callers:
            await caller.query("BEGIN")
            assert is_success(await caller.query("WRITE a 1"))
        cluster.group.instances["i-0"].is_silent = True
        process.process.send_signal(signal.SIGTERM)
        assert await wait_exit(process, 3) == 0

    run_process(test, tmp_path)


def test_sighup_keeps_transactions_open(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        await caller.query("BEGIN")
        process.process.send_signal(signal.SIGHUP)
        await trio.sleep(0.2)
        assert is_success(await caller.query("WRITE a 1"))
        assert is_success(await caller.query("COMMIT"))
        assert '"event": "reload"' in process.log.read_text()

    run_process(test, tmp_path)


def test_restarted_process_serves_after_a_kill(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        assert is_success(await caller.query("WRITE a 1"))
        process.process.kill()
        process.process.wait()
        again = ProxyProcess(cluster, tmp_path)
        try:
            await again.wait_ready()
            caller = await again.connect()
            assert (await caller.query("READ a"))[0] == "ROW 1"
        finally:
            again.kill()

    run_process(test, tmp_path)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [("[vm]", "[vm", "not valid TOML"), ('domain = "north"', "", "vm.domain")],
)
def test_invalid_settings_are_reported_and_stop_the_start(
    tmp_path, old, new, named
):
    path = tmp_path / "settings.toml"
    address = "127.0.0.1:1"
    text = SETTINGS.format(
        callers=address,
        ready=address,
        metrics=address,
        port=1,
        store=address,
        duties=address,
    )
    path.write_text(text.replace(old, new))
    done = subprocess.run(
        [sys.executable, str(RUN)],
        env={**os.environ, "GERANIUMRIDGE_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2
    assert str(path) in done.stderr and named in done.stderr


def test_no_key_is_in_logs_or_metrics(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        await caller.query("WRITE a 1")
        bad = proxies.Caller(process.listen.callers)
        await bad.open()
        await bad.start_session("orders", "very-secret-key")
        _, text = await process.fetch(process.listen.metrics, "/metrics")
        assert "geraniumridge_served_total 1" in text
        log = process.log.read_text()
        assert "very-secret-key" not in log + text
        assert not re.search(r'"key": ?"key"', log)

    run_process(test, tmp_path)


def find_last_refused(process):
    """Return the id of the last request that was refused."""
    lines = process.log.read_text().splitlines()
    refused = [line for line in lines if '"event": "refused"' in line]
    return re.search(r'"request": "([^"]+)"', refused[-1])[1]


def test_explain_a_refusal_of_a_vm_cut_off_from_the_store(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        assert is_success(await caller.query("READ a"))
        cluster.store.fault = "busy"
        with trio.fail_after(8):
            while is_success(await caller.query("READ a")):
                await trio.sleep(0.1)
        await trio.sleep(1.5)
        assert not is_success(await caller.query("READ a"))
        explanation = process.explain(find_last_refused(process))
        assert "store_lost" in explanation
        assert "cannot check keys, knowledge is" in explanation

    run_process(test, tmp_path)


def test_explain_a_write_in_doubt_after_a_change_of_primary(tmp_path):
    async def test(cluster, process):
        caller = await process.connect()
        await trio.sleep(failover.STARTUP_DELAY_S)
        first = cluster.group.instances["i-0"]
        first.statement_time_s = 5.0

        async def drain():
            await trio.sleep(0.3)
            cluster.register(first, state="draining")

        cluster.nursery.start_soon(drain)
        lines = await caller.query("WRITE a 1")
        assert lines[0].startswith("ERROR INDOUBT")
        explanation = process.explain(find_last_refused(process))
        assert "primary_given_up" in explanation
        assert "lead_marked" in explanation and "draining" in explanation

    run_process(test, tmp_path)


def test_explain_a_read_that_every_target_lags_behind(tmp_path):
    async def test(cluster, process):
        caller = await process.connect("plans")
        assert is_success(await caller.query("WRITE a 1"))
        for item in cluster.group.instances.values():
            item.read_error = "LAGGING"
        lines = await caller.query("READ a")
        assert lines[0].startswith("ERROR BUSY")
        explanation = process.explain(find_last_refused(process))
        assert "behind" in explanation

    run_process(test, tmp_path)


MAX_MEMORY_KB = 150_000
"""Half of the memory that the smallest VM has for a proxy."""


def get_peak_memory_kb(pid):
    """Return the highest resident memory of a process so far."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


async def read_large_answer(cluster, process):
    """Read 80 MB in rows of 500 kB; return the number of rows."""
    caller = await process.connect()
    assert is_success(await caller.query("WRITE list " + "x" * 500_000))
    cluster.group.instances["i-0"].rows_per_read = 160
    await caller.send("QUERY large READ list")
    row_count = 0
    while (line := await caller.read_line()).startswith("ROW "):
        row_count += 1
    assert line.startswith("COMPLETE d.large")
    return row_count


def test_large_answer_does_not_fill_the_memory(tmp_path):
    """Guards against a proxy that holds a whole answer, and is killed."""

    async def test(cluster, process):
        await change_config(
            cluster,
            routes=[
                {**route, "timeoutMs": 20_000}
                for route in proxies.make_config()["routes"]
            ],
        )
        assert await read_large_answer(cluster, process) == 160
        assert get_peak_memory_kb(process.process.pid) < MAX_MEMORY_KB

    run_process(test, tmp_path)


def test_reload_during_the_start_does_not_end_the_process(tmp_path):
    async def test(cluster, process):
        assert process.process.poll() is None

    async def main():
        async with proxies.open_cluster() as cluster:
            for delay_s in (0.05, 0.15, 0.25):
                process = ProxyProcess(cluster, tmp_path)
                try:
                    await trio.sleep(delay_s)
                    process.process.send_signal(signal.SIGHUP)
                    await process.wait_ready()
                    await test(cluster, process)
                finally:
                    process.kill()

    trio.run(main)
