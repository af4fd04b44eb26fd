"""Runs of proxies as processes under seeded faults, checked by an oracle."""

import contextlib
import itertools
import typing

import trio

from lib import proxies
from lib import soak_deployment
from lib import soak_faults
from lib import soak_oracle
from standins import serve

SETTLING_S = 5.0
"""Time before the first fault; the proxies start failovers by then."""

RECOVERY_S = 35.0
"""Bound on the time until writes are acknowledged again at every VM. A
departed target is waited for 30 s."""


class Result(typing.NamedTuple):
    """Broken promises as texts, and the number of acknowledged writes."""

    violations: list[str]
    acknowledged: int


async def run_fault(deployment, fault):
    """Wait for a fault's time and let it happen."""
    await trio.sleep(fault.begins_at)
    deployment.events.append(f"{trio.current_time():.2f} {fault}")
    await soak_faults.FAULTS.get(fault.kind)(deployment, fault)


async def write_items(vm, oracle):
    """Write items of their own through a VM until cancelled."""
    items = (f"{vm.name}.{number}" for number in itertools.count())
    while True:
        caller = proxies.Caller(vm.callers)
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            await caller.open()
            if await caller.start_session("orders", "key") == "READY I -":
                await write_until_closed(caller, items, oracle)
        await trio.sleep(0.1)


async def write_until_closed(caller, items, oracle):
    """Write items until the session ends."""
    while True:
        await trio.sleep(0.05)
        item = next(items)
        line = (await caller.query_all(f"WRITE {item} x"))[0]
        if line is None:
            return
        words = line.split(" ")
        oracle.note(item, words[1] if words[0] == "ERROR" else words[0])


async def run(seed, folder):
    """Run the faults of a seed and return the `Result`.

    `RECOVERY_S` after the last fault every VM has to acknowledge writes
    again, which is checked too.
    """
    deployment = soak_deployment.Deployment(folder)
    oracle = soak_oracle.Oracle()
    try:
        with trio.fail_after(30):
            await deployment.start()
        async with trio.open_nursery() as nursery:
            for vm in deployment.vms:
                nursery.start_soon(write_items, vm, oracle)
            await trio.sleep(SETTLING_S)
            async with trio.open_nursery() as faults:
                for fault in soak_faults.draw_faults(seed):
                    faults.start_soon(run_fault, deployment, fault)
            violations = await _wait_recovered(deployment, oracle)
            nursery.cancel_scope.cancel()
        orders = await serve.call(deployment.duties_control, "list_orders")
        commits = await serve.call(deployment.group_control, "list_commits")
        violations += oracle.list_violations(commits, orders)
        lines = [*deployment.events, *map(str, orders), *violations]
        (folder / "run.txt").write_text("\n".join(lines))
        return Result(violations, len(oracle.acknowledged))
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
