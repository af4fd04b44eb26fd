"""After the store has come back from a copy, a former primary is read.

Six machines in three zones serve one service of three instances. A zone is
taken out and brought back twice, so that the primary moves. The store's copy
is made between the two moves; a drill puts it back some seconds later. A
machine that is added then takes the primary from the copy.
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
ADDED = ("front-kbh-b-3", "kbh-b")
AWAY_S = 1.0
LAG_S = 0.06
PLAY_S = 8.0
CLIENTS = 3


async def send(world, machine, write_share):
    """One client that reads and writes on the primary's route."""
    client = w.Client(world, machine, "orders", "key-one")
    line = ""
    while True:
        await asyncio.sleep(random.uniform(0.05, 0.15))
        try:
            if not line.startswith("READY"):
                client.close()
                line = await client.open()
                continue
            item = world.next_id()
            text = f"READ {item}"
            if random.random() < write_share:
                text = f"WRITE {item} data"
            _, end = await client.query(text)
            line = end if end == "CLOSED" else line
        except OSError:
            line = ""


async def move_primary(world, group):
    """Take the primary's zone out until another one leads, then bring it back."""
    former = group.newest_primary()
    key = f"op/evacuate/{former.zone}"
    world.store.put(key, {})
    world.record.say("zone taken out", former.zone)
    ends_at = w.now() + 10
    while group.newest_primary() is former:
        if w.now() > ends_at:
            raise w.CannotRun("the primary did not move")
        await asyncio.sleep(0.02)
    await asyncio.sleep(2.5)
    world.store.delete(key)
    world.record.say("zone brought back", former.zone)


def find_stale(world, group):
    """Return the reads whose log lacked an acknowledged commit."""
    numbers = {
        entry[2][0]: place
        for place, entry in enumerate(group.newest_primary().log, 1)
    }
    acknowledged = [
        (at, statement_id, numbers[statement_id])
        for statement_id, (at, end) in world.answers.items()
        if end.startswith("COMPLETE") and statement_id in numbers
    ]
    stale = []
    for statement_id, name, length in group.reads:
        sent_at = world.sent[statement_id]
        lacks = [c for at, c, place in acknowledged if at < sent_at and place > length]
        if lacks:
            stale.append((statement_id, name, lacks))
            world.record.note(
                "stale read", statement_id, "at", name, "sent", f"{sent_at:.3f}",
                "lacks", *(f"{c} acknowledged {world.answers[c][0]:.3f}" for c in lacks[:3]),
                world.answers.get(statement_id),
            )
    world.record.say(len(stale), "of", len(group.reads), "reads stale")
    return stale


async def play(holder, has_trouble):
    config = w.make_config(
        7,
        {"orders": ("primary", "ledger-1")},
        {"nypu920": ("key-one", 500, 500)},
    )
    world = holder["world"] = w.World(ZONES, ["ledger-1"], config)
    await world.start(MACHINES)
    group = world.groups[0]
    group.lag_s = LAG_S
    for machine in world.machines.values():
        for _ in range(CLIENTS):
            world.run_task(send(world, machine, 0.5))
    await asyncio.sleep(6)
    await move_primary(world, group)
    await asyncio.sleep(1)
    copy = world.store.copy()
    await asyncio.sleep(0.5)
    await move_primary(world, group)
    await asyncio.sleep(1)
    if has_trouble:
        await world.store.restore(copy, AWAY_S)
    machine = await world.add(*ADDED)
    await machine.start()
    for _ in range(CLIENTS):
        world.run_task(send(world, machine, 0.0))
    await asyncio.sleep(PLAY_S)
    return find_stale(world, group)


if __name__ == "__main__":
    w.run_case(FOLDER, play)
