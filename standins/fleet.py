"""Deployments of real processes on loopback, for demo, tests and load.

Requests are synchronous and use the standard library, so that their
results don't depend on the project's own client code.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import trio

from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore
from geraniumridge._internal.network import platform

READY_TIMEOUT_S = 15.0
"""Bound on waits for a condition, such as a VM that becomes ready."""

POLL_INTERVAL_S = 0.05
"""Time between checks of a condition."""

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Bounds of the ports used; below those of outgoing connections."""

MAX_TEST_WORKERS = 16
"""Number of test processes that get disjoint ports."""

PLATFORM_HOST = "127.0.9.1"
"""Loopback address of the platform, by which its links are cut."""

FIRST_DOMAIN_OCTET = 10
"""Third octet of the first domain's loopback address."""

ROOT = pathlib.Path(__file__).resolve().parent.parent


# Test processes that run in parallel use disjoint ports.
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
_WORKER_PORTS = range(FIRST_PORT + _WORKER, LAST_PORT, MAX_TEST_WORKERS)
_PORTS = itertools.cycle(
    random.SystemRandom().sample(_WORKER_PORTS, len(_WORKER_PORTS))
)


class Answer(typing.NamedTuple):
    """HTTP answer; `session` is its session token, if any."""

    status: int
    data: typing.Any
    session: str


class Vm(typing.NamedTuple):
    """VM: name, failure domain and the ``IP:port`` its daemon listens on."""

    name: str
    domain: str
    callers: str
    peers: str
    operators: str


def reserve_address(host="127.0.0.1"):
    """Return an unused address that no client socket can take.

    Its port lies below the range from which the system assigns ports to
    outgoing connections.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((host, port))
                return f"{host}:{port}"
    raise OSError("no unused port is left")


def request(
    address, method, path, data=None, headers=(), timeout_s=30, tls=None
):
    """Send a JSON request on a new connection and return the answer."""
    if tls is None:
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
    else:
        connection = http.client.HTTPSConnection(
            address, timeout=timeout_s, context=tls
        )
    with contextlib.closing(connection):
        body = None if data is None else json.dumps(data)
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        text = response.read()
        token = response.getheader("Geraniumridge-Session", "")
        return Answer(response.status, json.loads(text or "null"), token)


def wait_for(condition, description, timeout_s=READY_TIMEOUT_S):
    """Poll until a condition is true and return its value.

    Connection and HTTP errors of the condition count as false. Raises
    TimeoutError after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = condition()
            if value:
                return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{description}: not within {timeout_s} s")


class Fleet:
    """Context manager that runs the processes of a deployment.

    Parameters
    ----------
    domains : sequence of str
        The failure domains.
    vms_per_domain : int
        VMs in each domain.
    groups : sequence of str
        Database groups, each with one instance per domain.
    lag_ms : float
        Replication lag.
    teams : dict, optional
        Plan of each team: rate in requests per second, and burst.
    settings : str, optional
        Further TOML for the settings of each VM.
    service_ms : float, optional
        Time that each statement takes at its target.
    has_fault_proxy : bool, optional
        Connect the domains through the fault proxy, which `cut_links` and
        `set_link_delay` need.
    connections : int, optional
        Connection limit of each target.
    """

    def __init__(
        self,
        domains=("north", "south"),
        vms_per_domain=2,
        groups=("ledger",),
        lag_ms=50,
        teams=None,
        settings="",
        service_ms=1,
        has_fault_proxy=False,
        connections=20,
    ):
        self.domains = domains
        self.groups = groups
        self.lag_ms = lag_ms
        self.service_ms = service_ms
        self.connections = connections
        self.teams = teams or {"coop": (1000.0, 1000)}
        self.extra_settings = settings
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.processes = {}
        self.has_fault_proxy = has_fault_proxy
        self.links = {}
        self.fault_proxy_admin = reserve_address()
        self.platform = reserve_address(PLATFORM_HOST)
        self.targets = {}
        self.vms = {}
        self.keys = {team: f"key-of-{team}" for team in self.teams}
        for domain in domains:
            for index in range(1, vms_per_domain + 1):
                self.add_vm(f"{domain}-{index}", domain)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details):
        self.stop()

    def add_vm(self, name, domain):
        """Add a VM with reserved addresses, without starting it."""
        host = self.get_domain_host(domain)
        addresses = [reserve_address(host) for _ in range(3)]
        self.vms[name] = Vm(name, domain, *addresses)
        self.add_link(addresses[1])
        return self.vms[name]

    def set_link_delay(self, delay_ms):
        """Set the delay that the fault proxy adds to each direction."""
        data = {"delay_ms": delay_ms}
        request(self.fault_proxy_admin, "PUT", "/admin", data)

    def get_primary(self, group):
        """Return the primary that the platform's record of terms names."""
        terms = request(self.platform, "GET", "/kv/terms").data["value"]
        return terms[group]["primary"]

    def edit_config(self, section, name, value):
        """Commit one entry of the configuration, as an operator does."""

        async def commit():
            client = platform.PlatformClient(self.platform, 5.0)
            loaded = await configstore.load_chain(client)
            edits = [config.Edit(section, name, value)]
            return await configstore.commit_edits(
                client, loaded, "fleet", edits
            )

        return trio.run(commit)

    def get_domain_host(self, domain):
        """Return the loopback address of a domain."""
        return f"127.0.{FIRST_DOMAIN_OCTET + self.domains.index(domain)}.1"

    def add_link(self, address):
        """Add a link of the fault proxy, if used, before an address."""
        if self.has_fault_proxy:
            self.links[address] = reserve_address()

    def get_link_address(self, address):
        """Return the address at which others reach a given address."""
        return self.links.get(address, address)

    def cut_links(self, *pairs):
        """Cut the links between pairs of domains and restore all others.

        One side of a pair may be ``"platform"``.
        """
        prefixes = [
            [
                (
                    PLATFORM_HOST
                    if side == "platform"
                    else self.get_domain_host(side)
                )
                for side in pair
            ]
            for pair in pairs
        ]
        request(self.fault_proxy_admin, "PUT", "/admin", {"cuts": prefixes})

    def start(self):
        """Start all processes and wait until every VM is ready."""
        self.start_platform()
        for group in self.groups:
            self.start_group(group)
        if self.has_fault_proxy:
            self.start_fault_proxy()
        wait_for(self.register_vms, "platform")
        self.write_config()
        for name in self.vms:
            self.start_vm(name)
        for name in self.vms:
            self.wait_ready(name)

    def stop(self):
        """Kill every process that this object started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def start_process(self, name, *arguments):
        """Start a Python process; its output goes to a log file."""
        path = self.directory / f"{name}.log"
        with path.open("a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def start_platform(self):
        """Start the platform stand-in."""
        arguments = ["--address", self.platform]
        self.start_process("platform", "-m", "standins.platform", *arguments)
        self.add_link(self.platform)

    def start_fault_proxy(self):
        """Start the fault proxy for every link as the process ``proxy``."""
        arguments = ["--admin", self.fault_proxy_admin]
        for back, front in self.links.items():
            arguments += ["--link", f"{front}={back}"]
        self.start_process("proxy", "-m", "standins.faultproxy", *arguments)
        wait_for(
            lambda: request(self.fault_proxy_admin, "PUT", "/admin"), "proxy"
        )

    def start_group(self, group):
        """Start a database group with one instance per domain."""
        arguments = ["-m", "standins.group", "--lag-ms", str(self.lag_ms)]
        arguments += ["--service-ms", str(self.service_ms)]
        arguments += ["--connections", str(self.connections)]
        for domain in self.domains:
            address = reserve_address(self.get_domain_host(domain))
            self.add_link(address)
            self.targets[group, f"{group}-{domain}"] = address
            arguments += ["--instance", f"{group}-{domain}={address}"]
        self.start_process(f"group-{group}", *arguments)

    def register_vms(self):
        """Register all VMs with the platform; return whether it worked."""
        entries = [
            {
                "name": vm.name,
                "domain": vm.domain,
                "address": self.get_link_address(vm.peers),
                "operators": vm.operators,
                "state": "live",
            }
            for vm in self.vms.values()
        ]
        answer = request(self.platform, "PUT", "/admin/vms", {"vms": entries})
        return answer.status == 200

    def set_platform_faults(self, **faults):
        """Set faults of the platform and return its counters of calls.

        Without arguments, it only reads the counters.
        """
        answer = request(self.platform, "PUT", "/admin/faults", faults)
        return answer.data["counters"]

    def set_target_faults(self, group, target, **faults):
        """Set faults of an instance and return its state and log.

        Without faults, it only reads state and log.
        """
        address = self.targets[group, target]
        return request(address, "POST", "/admin", faults).data

    def make_config(self):
        """Return the operators' configuration as sections."""
        groups = {}
        for group in self.groups:
            groups[group] = {"targets": {}}
            for domain in self.domains:
                name = f"{group}-{domain}"
                address = self.targets[group, name]
                link_address = self.get_link_address(address)
                entry = {
                    "address": link_address,
                    "domain": domain,
                    "connections": self.connections,
                }
                groups[group]["targets"][name] = entry
        plans = {
            f"plan-{team}": {
                "rate_per_s": rate,
                "burst": burst,
                "groups": {group: "write" for group in self.groups},
            }
            for team, (rate, burst) in self.teams.items()
        }
        return {
            "domains": {domain: {} for domain in self.domains},
            "groups": groups,
            "use": plans,
            "plans": {team: f"plan-{team}" for team in self.teams},
            "keys": {
                config.hash_key(key): {"team": team}
                for team, key in self.keys.items()
            },
        }

    def write_config(self):
        """Commit the configuration as the chain's first change."""
        edits = [
            {"section": section, "name": name, "value": value}
            for section, table in self.make_config().items()
            for name, value in table.items()
        ]
        change = {
            "version": 1,
            "previous": "0" * 64,
            "id": "first",
            "author": "fleet",
            "edits": edits,
        }
        body = {"value": json.dumps(change), "expected_revision": 0}
        request(self.platform, "PUT", "/kv/config/changes/1", body)

    def write_settings(self, vm):
        """Write a VM's settings file and return its path."""
        path = self.directory / f"{vm.name}.toml"
        path.write_text(f"""
[vm]
name = "{vm.name}"
domain = "{vm.domain}"
[listen]
callers = "{vm.callers}"
peers = "{vm.peers}"
operators = "{vm.operators}"
advertise = "{self.get_link_address(vm.peers)}"
source = "{self.get_domain_host(vm.domain)}"
[platform]
address = "{self.get_link_address(self.platform)}"
{self.extra_settings}
""")
        return path

    def start_vm(self, name):
        """Start the daemon of a VM."""
        path = self.write_settings(self.vms[name])
        code = "from geraniumridge._internal.cli import daemon; daemon.main()"
        self.start_process(name, "-c", code, str(path))

    def wait_ready(self, name):
        """Wait until a VM is healthy and serves a read per group."""
        vm = self.vms[name]
        team = next(iter(self.teams))

        def is_ready():
            health = request(vm.operators, "GET", "/health")
            return health.status == 200 and all(
                self.read(name, group, "SELECT 1", team).status == 200
                for group in self.groups
            )

        wait_for(is_ready, f"{name} ready")

    def send(self, name, path, data=None, team=None, headers=None):
        """Send a caller's request to a VM.

        `team` is a name in `keys`, which may also hold keys without a
        team; by default it is the first team.
        """
        team = team or next(iter(self.teams))
        headers = dict(headers or {})
        headers.setdefault("Authorization", f"Bearer {self.keys[team]}")
        address = self.vms[name].callers
        return request(address, "POST", path, data, headers)

    def read(self, name, group, sql, team=None, token="", **options):
        """Run a read through a VM."""
        return self._run_statement(
            name, group, sql, "read", team, token, options
        )

    def write(self, name, group, sql, team=None, token="", **options):
        """Run a write through a VM."""
        return self._run_statement(
            name, group, sql, "write", team, token, options
        )

    def _run_statement(self, name, group, sql, mode, team, token, options):
        headers = {"Geraniumridge-Session": token} if token else {}
        key = options.pop("idempotency_key", "")
        if key:
            headers["Idempotency-Key"] = key
        data = {"sql": sql, "mode": mode, **options}
        path = f"/v1/groups/{group}/statements"
        return self.send(name, path, data, team, headers)

    def get_page(self, name, page):
        """Return the decoded JSON of an operators' page of a VM."""
        return request(self.vms[name].operators, "GET", page).data

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name, signal_number):
        """Send a signal to a process."""
        self.processes[name].send_signal(signal_number)
