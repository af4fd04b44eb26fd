"""Faults of the soak, which come from outside the proxies.

They are signals, links that hold bytes back, and instances that misbehave.
"""

import random
import signal
import typing

import trio

from geraniumridge._internal.kernel import registry
from lib.soak_deployment import DUTIES_IP
from lib.soak_deployment import GROUP
from lib.soak_deployment import STORE_IP
from standins import serve

FAULTS_S = 22.0
"""Time during which faults begin."""

FAULTS = registry.Registry("fault")


class Fault(typing.NamedTuple):
    """One fault: its kind, when it begins and how long it lasts, in seconds.

    `choice` is a random number from which its subject is chosen.
    """

    begins_at: float
    kind: str
    lasts_s: float
    choice: int


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
