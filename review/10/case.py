"""A replica's earlier restart makes a failover rely on an old position.

A replica starts again and is back in step. Later the other replica receives
nothing for a while, and the primary crashes at the moment at which the first
replica goes dark. The machine that runs the failover has sent nothing to the
primary for some seconds.
"""

import pathlib

import trio

from lib2 import fleet as fleet_module
from lib2 import writers as writers_module

FOLDER = pathlib.Path(__file__).resolve().parent
WARMUP_S = 5.0
DEAF_S = 6.5
"""How long a replica receives nothing (`replica_lag`, for_s 6.5)."""

CRASH_S = 7.0
"""How long the primary is down and a replica dark (`srv_crash`, for_s 7.0);
both are back with their logs."""

QUIET_VM = "front-kushiro-2"
"""First in the order of machines that run failovers of the service."""


async def disturb(fleet, primary, restarted, deaf):
    """Run the disturbances one after the other."""
    record = fleet.record

    async def note_states(words):
        record.show(words, await fleet.call("group", "get_states"))

    async def set_field(target, field, value):
        fields = {field: value}
        await fleet.call("group", "set_fields", target=target, fields=fields)

    async def deafen():
        await set_field(deaf, "ignores_replication", True)
        await trio.sleep(DEAF_S)
        await set_field(deaf, "ignores_replication", False)

    await note_states(f"{restarted} crashes")
    await fleet.call("group", "crash", target=restarted)
    await trio.sleep(0.3)
    await fleet.call("group", "restart", target=restarted, keeps_log=False)
    await trio.sleep(4.0)
    await note_states(f"{restarted} is in step again")
    quiet = next(vm for vm in fleet.vms if vm.name == QUIET_VM)
    client = fleet_module.Client(quiet, "quiet")
    if await client.connect():
        record.show("a client of", quiet.name, await client.query("READ a"))
    await trio.sleep(0.5)
    async with trio.open_nursery() as nursery:
        await note_states(f"{deaf} receives nothing from now on")
        nursery.start_soon(deafen)
        await trio.sleep(4.0)
        await note_states(f"{primary} crashes and {restarted} goes dark")
        await set_field(restarted, "is_silent", True)
        await fleet.call("group", "cut_store", target=restarted, is_cut=True)
        await fleet.call("group", "crash", target=primary)
        await trio.sleep(CRASH_S)
        await set_field(restarted, "is_silent", False)
        await fleet.call("group", "cut_store", target=restarted, is_cut=False)
        await fleet.call("group", "restart", target=primary, keeps_log=True)
        await note_states("both are back")
    await client.close()


async def test(fleet, has_trouble):
    """Return whether the promoted instance has all acknowledged commits."""
    busy = [vm for vm in fleet.vms if vm.name != QUIET_VM]
    writers = writers_module.Writers(fleet, busy)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writers.run)
        await trio.sleep(WARMUP_S)
        primary = await fleet.find_primary()
        restarted, deaf = [
            name for name in fleet_module.INSTANCES if name != primary
        ]
        if has_trouble:
            await disturb(fleet, primary, restarted, deaf)
        await trio.sleep(4.0)
        writers.is_ending = True
    return await writers_module.check_log(fleet, writers.acknowledged)


fleet_module.run_case(FOLDER, test, group_fields=["copy_rate=2000"])
