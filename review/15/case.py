"""A failover ends with a primary that is leaving, which goes on being used.

Six machines in three zones serve one service of three instances, which are
replaced one after the other. The machine that orders the first promotion gets
no answer of the store from then on for some seconds, so another one completes
it; meanwhile the promoted instance has said that it leaves.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world as w  # noqa: E402

ZONES = ["kbh-a", "kbh-b", "roskilde"]
MACHINES = [
    (f"front-{zone}-{number}", zone) for zone in ZONES for number in (1, 2)
]
SILENT_S = 7.0
RELEASE_GAP_S = 1.0
DRAIN_S = 7.0
LEAVES_AFTER_S = 12.0
PLAY_S = 16.0
CLIENTS = 4


async def send(world, machine):
    """One client that reads and writes on the primary's route."""
    client = w.Client(world, machine, "orders", "key-one")
    line = await client.open()
    while True:
        await asyncio.sleep(random.uniform(0.05, 0.15))
        if not line.startswith("READY"):
            client.close()
            line = await client.open()
            continue
        text = random.choice(("READ", "WRITE"))
        item = world.next_id()
        text = f"READ {item}" if text == "READ" else f"WRITE {item} data"
        _, end = await client.query(text)
        line = end if end == "CLOSED" else line
        world.machine_of[_] = machine.name


async def replace(world, group, leaving):
    """Start a new instance, then let another one leave."""
    added = w.Instance(group, f"i-{group.name}-{len(group.instances)}", leaving.zone)
    await added.start()
    group.instances[added.name] = added
    group.catch_up(added)
    world.store.put(f"servers/{added.name}", added.make_entry())
    await asyncio.sleep(0.2)
    leaving.state = "draining"
    world.store.put(f"servers/{leaving.name}", leaving.make_entry())
    world.record.say("leaving", leaving.name, leaving.role)
    left_at = w.now()
    return left_at


def find_late(world, leaving, said_at, holder):
    """Return the statements that reached a leaving instance too late."""
    late = [
        (at, statement_id, world.machine_of.get(statement_id))
        for group in world.groups
        for at, statement_id, name, _ in group.arrivals
        if name == leaving.name
        and at - said_at > DRAIN_S
        and world.machine_of.get(statement_id, holder) != holder
    ]
    if late:
        first, last = late[0], late[-1]
        world.record.say(
            len(late), "too late; first", f"{first[0] - said_at:.2f} s", first[1:],
            "last", f"{last[0] - said_at:.2f} s", last[1:],
        )
    return late


async def play(holder, has_trouble):
    config = w.make_config(
        7,
        {"orders": ("primary", "ledger-1")},
        {"nypu920": ("key-one", 500, 500)},
    )
    world = holder["world"] = w.World(ZONES, ["ledger-1"], config)
    world.machine_of = {}
    await world.start(MACHINES)
    group = world.groups[0]
    for machine in world.machines.values():
        for _ in range(CLIENTS):
            world.run_task(send(world, machine))
    await asyncio.sleep(6)
    await replace(world, group, group.newest_primary())
    while not world.duties.calls:
        await asyncio.sleep(0.005)
    _, orderer, _, _, target = world.duties.calls[0]
    if has_trouble:
        world.record.say("store silent to", orderer)
        world.store.silent.add(orderer)
    await asyncio.sleep(RELEASE_GAP_S)
    leaving = group.instances[target]
    said_at = await replace(world, group, leaving)
    await asyncio.sleep(SILENT_S - RELEASE_GAP_S - 0.2)
    world.store.silent.clear()
    world.record.say("store answers all")
    await asyncio.sleep(PLAY_S - SILENT_S)
    for line in world.store.history:
        if "leads/" in line[1]["key"]:
            world.record.note("lead", f"{line[0]:.3f}", line[1].get("rev"))
    return find_late(world, leaving, said_at, orderer)


if __name__ == "__main__":
    w.run_case(FOLDER, play)
