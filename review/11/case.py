"""After the store has come back from a copy, a withdrawn key goes on working.

Six machines in three zones serve three services of three instances. The
desired state changes shortly before a drill, in which the store comes back
from a copy. Then a new desired state takes a key away.
"""

import asyncio
import copy as copies
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world as w  # noqa: E402

ZONES = ["kbh-a", "kbh-b", "roskilde"]
SERVICES = ["ledger-1", "ledger-2", "ledger-3"]
MACHINES = [
    (f"front-{zone}-{number}", zone) for zone in ZONES for number in (1, 2)
]
CHANGE_AFTER_COPY_S = 8.0
AWAY_S = 1.0
REVOKE_S = 5.0
PLAY_S = 20.0
KEPT, TAKEN = "key-kept", "key-taken"


async def send(world, machine, key):
    """One client of a key; it connects again after a close."""
    client = w.Client(world, machine, "orders", key)
    line = ""
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.2))
        try:
            if not line.startswith("READY"):
                client.close()
                line = await client.open()
                continue
            statement_id, end = await client.query(f"READ {world.next_id()}")
            world.key_of[statement_id] = key
            line = end if end == "CLOSED" else line
        except OSError:
            line = ""


def find_run(world, taken_at):
    """Return the statements of the key that ran though it was taken away."""
    run = [
        (statement_id, world.sent[statement_id] - taken_at)
        for group in world.groups
        for _, statement_id, _, _ in group.arrivals
        if world.key_of.get(statement_id) == TAKEN
        and world.sent[statement_id] - taken_at > REVOKE_S
    ]
    world.record.say(
        len(run), "statements of the key ran that were sent too late",
        *(f"{late:.1f} s {statement_id}" for statement_id, late in run[:1] + run[-1:]),
    )
    return run


async def play(holder, has_trouble):
    config = w.make_config(
        7,
        {"orders": ("bounded_staleness", "ledger-1")},
        {"nypu920": (KEPT, 500, 500)},
    )
    config["tenants"][0]["apiKeys"].append(TAKEN)
    world = holder["world"] = w.World(ZONES, SERVICES, config)
    world.key_of = {}
    await world.start(MACHINES)
    for machine in world.machines.values():
        for key in (KEPT, TAKEN):
            world.run_task(send(world, machine, key))
    await asyncio.sleep(6)
    copy = world.store.copy()
    await asyncio.sleep(CHANGE_AFTER_COPY_S)
    changed = copies.deepcopy(config)
    changed["version"] = 9
    changed["routes"][0]["timeoutMs"] = 1200
    world.record.say("version 9 at revision", world.store.put("op/config", changed))
    await asyncio.sleep(0.5)
    if has_trouble:
        await world.store.restore(copy, AWAY_S)
    await asyncio.sleep(1)
    revoked = copies.deepcopy(changed)
    revoked["version"] = 12
    revoked["tenants"][0]["apiKeys"] = [KEPT]
    revision = world.store.put("op/config", revoked)
    taken_at = w.now()
    world.record.say("version 12 takes a key away, revision", revision)
    await asyncio.sleep(PLAY_S)
    return find_run(world, taken_at)


if __name__ == "__main__":
    w.run_case(FOLDER, play)
