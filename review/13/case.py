"""After the store has come back from a copy, an order has a lower fence.

Six machines in three zones serve three services of three instances. A zone is
taken out, so that a primary moves, some seconds after the store's copy was
made; a drill puts the copy back. Then a machine is added, and the new
primary's zone is taken out.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world as w  # noqa: E402

ZONES = ["kbh-a", "kbh-b", "roskilde"]
SERVICES = ["ledger-1", "ledger-2", "ledger-3"]
MACHINES = [
    (f"front-{zone}-{number}", zone) for zone in ZONES for number in (1, 2)
]
ADDED = ("front-kbh-b-3", "kbh-b")
MOVE_AFTER_COPY_S = 8.0
AWAY_S = 1.0
PLAY_S = 14.0


async def take_out(world, zone, group):
    """Take a zone out until the group's primary has moved."""
    former = group.newest_primary()
    world.store.put(f"op/evacuate/{zone}", {})
    world.record.say("zone taken out", zone)
    ends_at = w.now() + PLAY_S
    while group.newest_primary() is former and w.now() < ends_at:
        await asyncio.sleep(0.02)


def find_lower(world):
    """Return the orders of a service whose fence is below an earlier one."""
    lower, highest = [], {}
    for at, holder, fence, service, target in world.duties.calls:
        if fence < highest.get(service, (0,))[0]:
            lower.append((at, holder, fence, service, target))
            world.record.say(
                "lower fence", fence, "of", holder, "after", highest[service]
            )
        highest[service] = max(highest.get(service, (0,)), (fence, holder))
    return lower


async def play(holder, has_trouble):
    config = w.make_config(
        7,
        {f"orders-{n}": ("primary", name) for n, name in enumerate(SERVICES)},
        {"nypu920": ("key-one", 500, 500)},
    )
    world = holder["world"] = w.World(ZONES, SERVICES, config)
    await world.start(MACHINES)
    group = world.groups[0]
    await asyncio.sleep(6)
    copy = world.store.copy()
    await asyncio.sleep(MOVE_AFTER_COPY_S)
    former = group.newest_primary()
    await take_out(world, former.zone, group)
    if not world.duties.calls:
        raise w.CannotRun("the primary did not move")
    await asyncio.sleep(0.5)
    world.store.delete(f"op/evacuate/{former.zone}")
    world.record.say("zone brought back", former.zone)
    await asyncio.sleep(0.2)
    if has_trouble:
        await world.store.restore(copy, AWAY_S)
    machine = await world.add(*ADDED)
    await machine.start()
    await machine.wait_ready()
    await take_out(world, group.newest_primary().zone, group)
    await asyncio.sleep(1)
    return find_lower(world)


if __name__ == "__main__":
    w.run_case(FOLDER, play)
