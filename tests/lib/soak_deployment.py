"""Proxies and the stand-ins of their platform as processes.

Each VM reaches the store and the promotion API through a `standins.faultproxy`
of its own, so that single links can be cut.
"""

import os
import pathlib
import subprocess
import sys

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from lib import proxies
from standins import serve

ROOT = pathlib.Path(__file__).parents[2]
GROUP = "ledger"
INSTANCES = ("i-0", "i-1", "i-2")
STORE_IP = "127.0.0.2"
DUTIES_IP = "127.0.0.3"
VMS = {"vm-1": "north", "vm-2": "south", "vm-3": "west", "vm-4": "north"}

SETTINGS = """
[vm]
name = "{name}"
domain = "{domain}"
ip = "127.0.0.1"
[listen]
callers = "{callers}"
ready = "{ready}"
first_peer_port = {peer_port}
last_peer_port = {peer_port}
[platform]
store = "{store}"
duties = "{duties}"
[bounds]
stop_grace_s = 3.0
limit_slack = 20.0
[regions]
north = "east"
south = "east"
west = "east"
"""


class Vm:
    """One entry VM: its proxy process, and its links to the platform."""

    def __init__(self, name, domain, folder, store, duties):
        self.name = name
        self.callers = proxies.find_address()
        self.ready = proxies.find_address()
        self._links_admin = proxies.find_address()
        links = (proxies.find_address(), proxies.find_address())
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                domain=domain,
                callers=self.callers,
                ready=self.ready,
                peer_port=proxies.find_port(),
                store=links[0],
                duties=links[1],
            )
        )
        self._folder = folder
        self._links_command = [
            *("-m", "standins.faultproxy", "--admin", self._links_admin),
            *("--link", f"{links[0]}={store}"),
            *("--link", f"{links[1]}={duties}"),
        ]
        self._cuts = []
        self.links = None
        self.process = None

    def start(self):
        """Start the proxy and, the first time, its links."""
        if self.links is None:
            self.links = start_python(
                self._folder, "links", self._links_command
            )
        self.process = start_python(
            self._folder,
            self.name,
            [str(ROOT / "platform" / "run.py")],
            GERANIUMRIDGE_BOOT=str(self.settings),
        )

    async def cut(self, ip, is_cut):
        """Hold the bytes to and from an address of the platform back."""
        if is_cut:
            self._cuts.append(["", ip])
        else:
            self._cuts.remove(["", ip])
        data = {"cuts": self._cuts}
        await http.fetch(self._links_admin, "PUT", "/admin", data)

    async def wait_ready(self):
        """Wait until the proxy reports that it is ready."""
        while True:
            try:
                response = await http.fetch(self.ready, "GET", "/-/ready")
                if response.status == 200:
                    return
            except exceptions.NetworkError:
                pass
            await trio.sleep(0.05)


class Deployment:
    """All processes of one run, in a folder with their logs."""

    def __init__(self, folder):
        self._folder = folder
        self.store_control = proxies.find_address()
        self.duties_control = proxies.find_address()
        self.group_control = proxies.find_address()
        store = f"{STORE_IP}:{proxies.find_port()}"
        duties = f"{DUTIES_IP}:{proxies.find_port()}"
        addresses = ",".join(proxies.find_address() for _ in INSTANCES)
        self._roles = {
            "store": (self.store_control, [f"serving={store}"]),
            "duties": (
                self.duties_control,
                [
                    f"serving={duties}",
                    f"group={GROUP}",
                    f"control={self.group_control}",
                ],
            ),
            "group": (
                self.group_control,
                [
                    f"group={GROUP}",
                    f"addresses={addresses}",
                    f"domains={','.join(proxies.DOMAINS)}",
                    f"store={self.store_control}",
                ],
            ),
        }
        self.vms = [
            Vm(name, domain, folder, store, duties)
            for name, domain in VMS.items()
        ]
        self.processes = {}
        self.events = []

    async def start(self):
        """Start the stand-ins, then the proxies; wait until these serve."""
        for role, (control, fields) in self._roles.items():
            command = ["-m", "standins.serve", role, control, *fields]
            self.processes[role] = start_python(self._folder, role, command)
        await self._wait_registered()
        config = proxies.make_config()
        await serve.call(
            self.store_control, "put", key="op/config", data=config
        )
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await vm.wait_ready()

    async def _wait_registered(self):
        with trio.fail_after(10):
            while True:
                try:
                    for name in INSTANCES:
                        key = f"servers/{name}"
                        entry = await serve.call(
                            self.store_control, "get", key=key
                        )
                        if entry is None:
                            raise exceptions.NetworkError("not registered")
                    return
                except exceptions.NetworkError:
                    await trio.sleep(0.05)

    async def find_primary(self):
        """Return the instance that leads the newest term, or None."""
        roles = await serve.call(self.group_control, "get_roles")
        primaries = [
            (term, name)
            for name, (role, term) in roles.items()
            if role == "primary"
        ]
        return max(primaries)[1] if primaries else None

    async def find_replica(self, choice):
        """Return one of the instances that are not the primary."""
        primary = await self.find_primary()
        others = [name for name in INSTANCES if name != primary]
        return others[choice % len(others)]

    def find_holder(self, lead):
        """Return the VM that a leadership record names, or None."""
        name = lead["holder"].partition("/")[0] if lead else None
        return next((vm for vm in self.vms if vm.name == name), None)

    def stop(self):
        """Kill all processes of the run."""
        started = [*self.processes.values()]
        for vm in self.vms:
            started += [vm.process, vm.links]
        for process in started:
            if process is not None:
                process.kill()
                process.wait()


def start_python(folder, name, arguments, **variables):
    """Start a Python process whose output goes to a file in a folder."""
    path = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
    with open(folder / f"{name}.log", "ab") as log:
        return subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path, **variables},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
