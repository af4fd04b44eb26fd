import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import caller  # noqa: E402
import world  # noqa: E402

KEY = "k-client"
REVOKE_S = 5.0

MOVED = ["READ pinned", "WRITE pinned 1"] * 4 + ["COMMIT"]
TAKEN = ["SET a 1", "SET a 2", "SET a 3", "SET a 4", "SET a 5", "COMMIT"]
"""Only statements that the proxy answers itself come before the COMMIT."""


def make_config(version, holder):
    """Return a desired state in which a tenant, or none, holds the key."""
    tenants = [
        {
            "name": name,
            "apiKeys": keys + ([KEY] if name == holder else []),
            "ratePerS": 2000,
            "burst": 2000,
        }
        for name, keys in (("team-1", [world.KEY]), ("team-2", ["k-other"]))
    ]
    return world.make_config(["ledger"], version, tenants=tenants)


async def scenario(the_world, has_trouble):
    is_taken = os.environ.get("KEY") == "taken"
    group = the_world.groups["ledger"]
    the_world.start_writers("ledger")
    the_world.store.put("op/config", make_config(2, "team-1"))
    await asyncio.sleep(4)
    machine = the_world.machines["front-obihiro-1"]
    session = caller.Caller(the_world.record, machine, "ledger-primary", KEY)
    assert await session.open()
    await session.run("BEGIN")
    await session.run("WRITE pinned 0")
    holder = (None if is_taken else "team-2") if has_trouble else "team-1"
    the_world.store.put("op/config", make_config(3, holder))
    confirmed_at = the_world.record.now()
    for text in TAKEN if is_taken else MOVED:
        await asyncio.sleep(1.0)
        after_s = the_world.record.now() - confirmed_at
        statement_id, code, _ = await session.run(text)
        ran_for = group.ran_for.get(statement_id)
        if after_s > REVOKE_S and ran_for not in (None, holder):
            the_world.record.note_broken(
                "CONFIG" if is_taken else "UNASKED",
                f"{text} ran for {ran_for} and was answered {code},"
                f" {after_s:.1f} s after its key was given to {holder}",
            )
        if code != "COMPLETE":
            break
    session.close()


if __name__ == "__main__":
    world.run(FOLDER, scenario)
