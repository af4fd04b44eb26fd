"""Clients that write items one after another."""

import trio

from lib2 import fleet as fleet_module

WRITER_COUNT = 6

PAUSE_S = 0.03
"""Pause of a writer between two writes."""

RECONNECT_S = 0.2
"""Pause before a writer whose connection ended connects again."""


class Writers:
    """Writers, and what they were told.

    `vms` are the machines that they connect to, by default all.
    `acknowledged` are the items whose writes succeeded, `in_doubt` counts
    the writes with an unknown result.
    """

    def __init__(self, fleet, vms=None):
        self._vms = vms or fleet.vms
        self._fleet = fleet
        self.acknowledged = []
        self.in_doubt = 0
        self.is_ending = False

    async def run(self):
        async with trio.open_nursery() as nursery:
            for number in range(WRITER_COUNT):
                vm = self._vms[number % len(self._vms)]
                nursery.start_soon(self._write, vm, f"w{number}")

    async def _write(self, vm, name):
        record = self._fleet.record
        client = fleet_module.Client(vm, name)
        number = 0
        while not self.is_ending:
            if not client.is_connected and not await client.connect():
                await trio.sleep(RECONNECT_S)
                continue
            number += 1
            item = f"{name}.{number}"
            record.note("sent", item, "to", vm.name)
            statement_id, lines = await client.query(f"WRITE {item} v{item}")
            record.note("answered", item, statement_id, lines)
            if fleet_module.is_success(lines):
                self.acknowledged.append(item)
            elif lines is None or "INDOUBT" in lines[-1]:
                self.in_doubt += 1
            await trio.sleep(PAUSE_S)
        await client.close()


async def check_log(fleet, acknowledged):
    """Return whether the newest primary has all acknowledged items.

    Also shows what a client reads of some that it lacks.
    """
    record = fleet.record
    record.show("promotions:", await fleet.call("duties", "list_orders"))
    newest = await fleet.find_primary()
    log = set(await fleet.call("group", "list_log", target=newest))
    lost = [item for item in acknowledged if item not in log]
    record.show(
        f"{len(acknowledged)} writes acknowledged; {len(lost)} of them are"
        f" not in the log of {newest}, the primary"
    )
    record.note("lost:", lost)
    await fleet.list_executed()
    client = fleet_module.Client(fleet.vms[0], "reader")
    if lost and await client.connect():
        for item in lost[-3:]:
            _, lines = await client.query(f"READ {item}")
            record.show(f"a client reads {item}:", lines)
        await client.close()
    return not lost
