"""Proxies and the stand-ins of their platform as processes, under faults.

Each VM reaches the store and the promotion API through a `standins.faultproxy`
of its own. Faults come from outside the proxies: signals, links that hold
bytes back, and instances that misbehave. The oracle knows every acknowledged
commit and the fencing tokens of all orders.
"""

import os
import pathlib
import random
import signal
import subprocess
import sys
import typing

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import http
from lib import proxies
from standins import serve

ROOT = pathlib.Path(__file__).parents[2]
GROUP = "ledger"
INSTANCES = ("i-0", "i-1", "i-2")
STORE_IP = "127.0.0.2"
DUTIES_IP = "127.0.0.3"
VMS = {"vm-1": "north", "vm-2": "south", "vm-3": "west", "vm-4": "north"}

SETTLING_S = 5.0
"""Time before the first fault; the proxies start failovers by then."""

FAULTS_S = 22.0
"""Time during which faults begin."""

RECOVERY_S = 35.0
"""Bound on the time until writes are acknowledged again at every VM. A
departed target is waited for 30 s."""

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

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
"""Codes which say that nothing of a statement is kept."""

FAULTS = registry.Registry("fault")


class Fault(typing.NamedTuple):
    """One fault: its kind, when it begins and how long it lasts, in seconds.

    `choice` is a random number from which its subject is chosen.
    """

    begins_at: float
    kind: str
    lasts_s: float
    choice: int


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


class Oracle:
    """What callers were told of their writes, each of an item of its own."""

    def __init__(self):
        self.acknowledged = []
        self.refused = set()

    def note(self, item, code):
        """Record the first word of an answer and its code."""
        if code == "COMPLETE":
            self.acknowledged.append(item)
        elif code in PROMISES:
            self.refused.add(item)

    def list_violations(self, commits, orders):
        """Return a text for each broken promise.

        Parameters
        ----------
        commits : list of str
            Items in the log of the last primary.
        orders : list of dict
            Orders to promote, as the promotion API saw them.
        """
        kept = set(commits)
        lost = [item for item in self.acknowledged if item not in kept]
        violations = [f"acknowledged, but lost: {item}" for item in lost]
        violations += [f"refused, but kept: {i}" for i in self.refused & kept]
        if len(kept) < len(commits):
            violations.append("a commit is twice in the log")
        return violations + list(_list_fence_violations(orders))


def _list_fence_violations(orders):
    newest = None
    for order in orders:
        if newest is not None and order["fence"] < newest["fence"]:
            yield f"lower fence: {order} after {newest}"
        elif newest is not None and order["fence"] == newest["fence"]:
            if order["holder"] != newest["holder"]:
                yield f"the same fence twice: {order} and {newest}"
        if newest is None or order["fence"] > newest["fence"]:
            newest = order


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


@FAULTS.register("duties out of reach of a VM")
async def _cut_duties(deployment, fault):
    lead = await serve.call(
        deployment.store_control, "get", key=f"geraniumridge/leads/{GROUP}"
    )
    vm = deployment.find_holder(lead)
    vm = vm or deployment.vms[fault.choice % len(deployment.vms)]
    await vm.cut(DUTIES_IP, True)
    await trio.sleep(fault.lasts_s)
    await vm.cut(DUTIES_IP, False)


@FAULTS.register("duties out of reach of all")
async def _cut_duties_for_all(deployment, fault):
    for vm in deployment.vms:
        await vm.cut(DUTIES_IP, True)
    await trio.sleep(fault.lasts_s)
    for vm in deployment.vms:
        await vm.cut(DUTIES_IP, False)


@FAULTS.register("store out of reach of a VM")
async def _cut_store(deployment, fault):
    vm = deployment.vms[fault.choice % len(deployment.vms)]
    await vm.cut(STORE_IP, True)
    await trio.sleep(fault.lasts_s)
    await vm.cut(STORE_IP, False)


@FAULTS.register("duties frozen")
async def _freeze_duties(deployment, fault):
    await _freeze(deployment.processes["duties"], fault.lasts_s)


@FAULTS.register("store frozen")
async def _freeze_store(deployment, fault):
    await _freeze(deployment.processes["store"], fault.lasts_s / 3)


@FAULTS.register("VM frozen")
async def _freeze_vm(deployment, fault):
    vm = deployment.vms[fault.choice % len(deployment.vms)]
    await _freeze(vm.process, fault.lasts_s)


@FAULTS.register("VM killed")
async def _kill_vm(deployment, fault):
    await _end_vm(deployment, fault, signal.SIGKILL)


@FAULTS.register("VM stopped")
async def _stop_vm(deployment, fault):
    await _end_vm(deployment, fault, signal.SIGTERM)


@FAULTS.register("primary draining")
async def _drain_primary(deployment, fault):
    target = await deployment.find_primary()
    if target is None:
        return
    control = deployment.group_control
    await serve.call(control, "drain", target=target, is_draining=True)
    await trio.sleep(2 * fault.lasts_s)
    await serve.call(control, "drain", target=target, is_draining=False)


@FAULTS.register("primary silent")
async def _silence_primary(deployment, fault):
    target = await deployment.find_primary()
    if target is not None:
        await _misbehave(deployment, target, "is_silent", fault.lasts_s / 2)


@FAULTS.register("primary crashed")
async def _crash_primary(deployment, fault):
    target = await deployment.find_primary()
    if target is not None:
        await _crash(deployment, target, fault.lasts_s, keeps_log=True)


@FAULTS.register("replica receives nothing")
async def _deafen_replica(deployment, fault):
    target = await deployment.find_replica(fault.choice)
    await _misbehave(deployment, target, "ignores_replication", fault.lasts_s)


@FAULTS.register("replica started again")
async def _restart_replica(deployment, fault):
    target = await deployment.find_replica(fault.choice)
    await _crash(deployment, target, 1.0, keeps_log=False)


async def _freeze(process, lasts_s):
    process.send_signal(signal.SIGSTOP)
    await trio.sleep(lasts_s)
    process.send_signal(signal.SIGCONT)


async def _end_vm(deployment, fault, number):
    vm = deployment.vms[fault.choice % len(deployment.vms)]
    former = vm.process
    former.send_signal(number)
    await trio.to_thread.run_sync(former.wait)
    await trio.sleep(1.0)
    if vm.process is former:
        vm.start()


async def _misbehave(deployment, target, field, lasts_s):
    control = deployment.group_control
    for value in (True, False):
        await serve.call(
            control, "set_fields", target=target, fields={field: value}
        )
        if value:
            await trio.sleep(lasts_s)


async def _crash(deployment, target, lasts_s, keeps_log):
    control = deployment.group_control
    await serve.call(control, "crash", target=target)
    await trio.sleep(lasts_s)
    await serve.call(control, "restart", target=target, keeps_log=keeps_log)


def draw_faults(seed):
    """Return the faults of a seed.

    The primary is in trouble again and again, and some other fault comes at
    about the same time each time.
    """
    source = random.Random(seed)
    primary_kinds = [
        name for name in FAULTS.names if name.startswith("primary")
    ]
    other_kinds = [name for name in FAULTS.names if name not in primary_kinds]
    faults = []
    begins_at = 0.0
    while begins_at < FAULTS_S:
        for kinds in (primary_kinds, other_kinds, other_kinds):
            faults.append(
                Fault(
                    begins_at + source.uniform(0.0, 1.5),
                    source.choice(kinds),
                    source.uniform(2.0, 8.0),
                    source.randrange(100),
                )
            )
        begins_at += source.uniform(5.0, 9.0)
    return sorted(faults)


async def run_fault(deployment, fault):
    """Wait for a fault's time and let it happen."""
    await trio.sleep(fault.begins_at)
    deployment.events.append(f"{trio.current_time():.2f} {fault}")
    await FAULTS.get(fault.kind)(deployment, fault)


async def write_items(deployment, vm, oracle):
    """Write items of their own through a VM until cancelled."""
    number = 0
    while True:
        caller = proxies.Caller(vm.callers)
        try:
            await caller.open()
            answer = await caller.start_session("orders", "key")
            while answer is not None and not answer.startswith("ERROR"):
                await trio.sleep(0.05)
                number += 1
                item = f"{vm.name}.{number}"
                answer = (await caller.query_all(f"WRITE {item} x"))[0]
                words = (answer or "").split(" ")
                code = words[1] if words[0] == "ERROR" else words[0]
                oracle.note(item, code)
                answer = "READY"
        except (OSError, trio.BrokenResourceError, TypeError):
            pass
        await trio.sleep(0.1)


async def run(seed, folder):
    """Run the faults of a seed; return the `Oracle`'s violations.

    Each is a text; `RECOVERY_S` after the last fault every VM has to
    acknowledge writes again, which is checked too.
    """
    deployment = Deployment(folder)
    oracle = Oracle()
    try:
        with trio.fail_after(30):
            await deployment.start()
        async with trio.open_nursery() as nursery:
            for vm in deployment.vms:
                nursery.start_soon(write_items, deployment, vm, oracle)
            await trio.sleep(SETTLING_S)
            async with trio.open_nursery() as faults:
                for fault in draw_faults(seed):
                    faults.start_soon(run_fault, deployment, fault)
            violations = await _wait_recovered(deployment, oracle)
            nursery.cancel_scope.cancel()
        orders = await serve.call(deployment.duties_control, "list_orders")
        commits = await serve.call(deployment.group_control, "list_commits")
        violations += oracle.list_violations(commits, orders)
        lines = [*deployment.events, *map(str, orders), *violations]
        (folder / "run.txt").write_text("\n".join(lines))
        return violations, oracle, orders
    finally:
        deployment.stop()


async def _wait_recovered(deployment, oracle):
    """Wait until each VM acknowledges a write; name those that do not."""
    first = len(oracle.acknowledged)
    names = {vm.name for vm in deployment.vms}
    with trio.move_on_after(RECOVERY_S):
        while True:
            recent = oracle.acknowledged[first:]
            names -= {item.partition(".")[0] for item in recent}
            if not names:
                return []
            await trio.sleep(0.1)
    return [f"acknowledges no writes again: {name}" for name in names]
