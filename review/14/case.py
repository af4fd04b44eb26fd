"""Two limiters grant a tenant's tokens at once after a machine was added.

Six machines in three zones serve. A seventh is added as planned; once it has
been up for some seconds it takes over a part of the tenants from the others.
In that moment the store stops to answer both machines of one zone, and a
tenant whose limiter is one of these sends many times its usual.
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
CUT = ("front-kbh-a-1", "front-kbh-a-2")
CUT_AFTER_S = 4.3
CUT_FOR_S = 5.5
RATE, BURST = 100, 100
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20
PRESS_S = 8.0
CLIENTS = 8
"""Clients at each machine."""
USUAL_PER_S = RATE / 1.6
HOT = 7.5
TENANT = sys.argv[1] if len(sys.argv) > 1 else "pelu31"


async def send(world, machine, get_pause_s):
    """One client with one statement at a time, and a pause after each."""
    client = w.Client(world, machine, "parts", "key-hot")
    line = await client.open()
    due_at = w.now() + random.random() * get_pause_s()
    while True:
        due_at = max(due_at + get_pause_s(), w.now() - 0.1)
        await asyncio.sleep(max(0.0, due_at - w.now()))
        if line.startswith("READY"):
            _, end = await client.query(f"READ {world.next_id()}")
            line = end if end == "CLOSED" else line
        else:
            client.close()
            line = await client.open()


def find_excess(world):
    """Return the windows in which more than the limit was sent and arrived."""
    arrivals = [
        (at, world.sent[statement_id])
        for group in world.groups
        for at, statement_id, _, team in group.arrivals
        if team == TENANT and statement_id in world.sent
    ]
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
    most, broken = 0, []
    for start in sorted(sent for _, sent in arrivals):
        count = sum(
            sent >= start and at < start + WINDOW_S for at, sent in arrivals
        )
        most = max(most, count)
        if count > allowed:
            broken.append((start, count))
    world.record.say("most in a window", most, "allowed", allowed)
    return broken


async def play(holder, has_trouble):
    config = w.make_config(
        7,
        {"parts": ("bounded_staleness", "ledger-1")},
        {TENANT: ("key-hot", RATE, BURST), "other": ("key-other", 64, 64)},
    )
    world = holder["world"] = w.World(ZONES, ["ledger-1"], config)
    await world.start(MACHINES)
    per_s = USUAL_PER_S
    clients = CLIENTS * len(MACHINES)

    def get_pause_s():
        return clients / per_s

    tasks = [
        world.run_task(send(world, world.machines[name], get_pause_s))
        for name, _ in MACHINES
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(7)
    added = await world.add(*ADDED)
    await added.start()
    key = f"geraniumridge/members/{ADDED[0]}"
    while world.store.get(key) is None:
        await asyncio.sleep(0.02)
    world.record.say("added", ADDED[0])
    await asyncio.sleep(CUT_AFTER_S)
    if has_trouble:
        world.record.say("store silent to", *CUT)
        world.store.silent.update(CUT)
    world.record.say("the tenant sends", HOT, "times its usual")
    per_s *= HOT
    await asyncio.sleep(CUT_FOR_S)
    world.store.silent.clear()
    world.record.say("store answers all")
    await asyncio.sleep(PRESS_S - CUT_FOR_S)
    for task in tasks:
        task.cancel()
    return find_excess(world)


if __name__ == "__main__":
    w.run_case(FOLDER, play)
