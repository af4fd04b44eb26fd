"""A small deployment with its stand-ins, clients and checks."""

import asyncio
import os
import signal
import sys
import traceback

import caller
import database
import deployment
import duties
import record
import store

KEY = "k-team-1"


def make_config(services, version=1, **fields):
    """Return a desired state with three routes for each service."""
    types = ("primary", "bounded_staleness", "read_your_writes")
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{service}-{kind}",
                "host": f"{service}-{kind.partition('_')[0]}",
                "type": kind,
                "service": service,
                "timeoutMs": 2000 if kind == "bounded_staleness" else 1000,
                "targetLatencyMs": 400,
                "priority": 1,
                "attempts": 2,
                "maxStalenessMs": 1500,
                "public": False,
            }
            for service in services
            for kind in types
        ],
        "services": [
            {"name": service, "maxConns": 21, "syncReplicas": 1}
            for service in services
        ],
        "limits": {"txIdleMs": 3000},
        "tenants": [
            {
                "name": "team-1",
                "apiKeys": [KEY],
                "ratePerS": 2000,
                "burst": 2000,
            }
        ],
        **fields,
    }


class World:
    """Everything that a case runs."""

    def __init__(self, folder, services=("ledger",), site=None):
        self.record = record.Record(folder)
        self.store = store.Store(self.record)
        self.groups = {
            name: database.Group(self.record, self.store, name)
            for name in services
        }
        self.duties = duties.Duties(self.record, self.groups.values())
        self.duties.on_promote = self._check_promoted
        self.deployment = deployment.Deployment(site)
        self.acknowledged = {name: [] for name in services}
        self.promised = {name: [] for name in services}
        self.served = 0
        self._tasks = []

    @property
    def machines(self):
        return self.deployment.machines

    async def start(self):
        """Start everything; return once all machines are ready."""
        await self.store.start(
            {name: item.store for name, item in self.machines.items()}
        )
        host, port = "127.0.0.1", deployment.find_port()
        await self.duties.start(host, port)
        for group in self.groups.values():
            for index, zone in enumerate(deployment.SITE):
                group.add(
                    f"i-{group.name}-{index + 1}",
                    "127.0.0.1",
                    deployment.find_port(),
                    zone,
                )
            for instance in group.instances.values():
                await instance.start()
        self.store.put("op/config", make_config(list(self.groups)))
        self.duties_address = f"{host}:{port}"
        self.deployment.start(self.duties_address)
        await self.deployment.wait_ready()
        prefix = "geraniumridge/members/"
        async with asyncio.timeout(20):
            while len(self.store.list_keys(prefix)) < len(self.machines):
                await asyncio.sleep(0.1)
        # Traffic starts well after the machines do.
        await asyncio.sleep(8)
        self.record.note("traffic starts")

    def start_writers(self, service, pause_s=0.1, sessions=2):
        """Write through each machine until the end."""
        for machine in self.machines.values():
            for index in range(sessions):
                self._tasks.append(
                    asyncio.ensure_future(
                        self._write(service, machine, index, pause_s)
                    )
                )

    async def _write(self, service, machine, index, pause_s):
        session = caller.Caller(
            self.record, machine, f"{service}-primary", KEY
        )
        is_open, number = False, 0
        while True:
            await asyncio.sleep(pause_s)
            if not is_open:
                is_open = await session.open()
                continue
            number += 1
            statement_id, code, _ = await session.run(
                f"WRITE {machine.name}.{index} {number}"
            )
            if code == "COMPLETE":
                self.acknowledged[service].append(statement_id)
                self.served += 1
            elif code in caller.PROMISES:
                self.promised[service].append(statement_id)
            elif code == "CLOSED":
                is_open = False

    def _check_promoted(self, group, name):
        """Check that an instance that is to lead lacks no acknowledged one."""
        log = {commit.id for commit in group.instances[name].log}
        lost = [i for i in self.acknowledged[group.name] if i not in log]
        if lost:
            self.record.note_broken(
                "LOST",
                f"{name} is promoted without {len(lost)} acknowledged"
                f" commits, {lost[0]} to {lost[-1]}",
            )
        # Each is reported once.
        self.acknowledged[group.name] = [
            i for i in self.acknowledged[group.name] if i in log
        ]

    def check_logs(self):
        """Check the leaders' logs at the end."""
        for group in self.groups.values():
            leader = group.find_leader()
            ids = [commit.id for commit in leader.log]
            for statement_id in set(self.promised[group.name]) & set(ids):
                self.record.note_broken(
                    "REFUSED", f"{statement_id} is kept despite a promise"
                )
            if len(set(ids)) < len(ids):
                self.record.note_broken("TWICE", "a commit is twice in a log")

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self.deployment.stop()


def end_early(world):
    """End everything that was started, when the script itself is ended."""
    world.stop()
    os._exit(record.NOT_RUN)


def run(folder, scenario, least_served=100, limit_s=110, **options):
    """Run an async scenario of a world and a flag; exit with the result."""
    folder = os.environ.get("RECORD_FOLDER", folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder, **options)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, end_early, world
        )
        try:
            async with asyncio.timeout(limit_s):
                await world.start()
                await scenario(world, has_trouble)
                world.check_logs()
            status = world.record.finish(world.served, least_served)
        except Exception:
            traceback.print_exc()
            status = record.NOT_RUN
        finally:
            world.stop()
        # The tasks of the stand-ins need not end in order.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)

    asyncio.run(main())
