import asyncio
import hashlib
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import deployment  # noqa: E402
import world  # noqa: E402

ZONE = "kitami"
"""The zone whose machines the store turns away; they are two of nine."""

DARK_S = 7.0


def list_machines():
    return [
        f"front-{zone}-{index}"
        for zone, count in deployment.SITE.items()
        for index in range(1, count + 1)
    ]


def rank(service):
    """Return the machines in the order in which they start a failover.

    It follows `utils/rendezvous.py`. Names of services are new each day;
    with these the machines that are turned away are the first.
    """

    def weigh(machine):
        key = f"{machine}\0{service}".encode()
        return hashlib.blake2b(key, digest_size=8).digest(), machine

    return sorted(list_machines(), key=weigh, reverse=True)


def find_services(count):
    numbers = iter(range(100_000))
    names = []
    while len(names) < count:
        name = f"ledger{next(numbers)}"
        if all(f"-{ZONE}-" in machine for machine in rank(name)[:2]):
            names.append(name)
    return names


async def scenario(the_world, has_trouble):
    groups = list(the_world.groups.values())
    for group in groups:
        the_world.start_writers(group.name, pause_s=0.15, sessions=1)
    await asyncio.sleep(4)
    if not has_trouble:
        await asyncio.sleep(25)
        return
    for group in groups:
        primary, holding, _ = group.instances.values()
        primary.crash()
    await asyncio.sleep(0.3)
    for group in groups:
        list(group.instances.values())[1].darken(True)
    dark_at = the_world.record.now()
    marked = {}
    while len(marked) < len(groups):
        await asyncio.sleep(0.005)
        for group in groups:
            lead = the_world.store.get(f"geraniumridge/leads/{group.name}")
            if lead is not None and group.name not in marked:
                marked[group.name] = the_world.record.now()
    await sleep_until(the_world, max(marked.values()) + 5.75)
    turned_away = {m for m in the_world.machines if f"-{ZONE}-" in m}
    the_world.store.cut = turned_away
    the_world.record.note(f"store turns away {sorted(turned_away)}")
    await sleep_until(the_world, dark_at + DARK_S)
    for group in groups:
        list(group.instances.values())[1].darken(False)
    await asyncio.sleep(6)
    the_world.store.cut = set()
    await asyncio.sleep(6)


async def sleep_until(the_world, at):
    await asyncio.sleep(max(0.0, at - the_world.record.now()))


if __name__ == "__main__":
    world.run(FOLDER, scenario, services=find_services(3))
