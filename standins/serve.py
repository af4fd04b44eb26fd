"""Run one stand-in of the users' platform as a process of its own.

``python -m standins.serve ROLE IP:port [NAME=VALUE ...]`` serves the role's
control interface at the address: ``POST /METHOD`` with a JSON object calls
the method of that name, whose result is the answer. Roles and the values that
they need are the classes below.
"""

import argparse
import contextlib
import functools

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import http
from standins import duties
from standins import kvstore
from standins import linegroup

ROLES = registry.Registry("role of a stand-in")

HEARTBEAT_S = 0.6
"""Interval at which an instance writes its entry in the store."""

MAX_MISSED_BEATS = 3
"""Missed writes after which the platform removes an instance's entry."""

CHECK_INTERVAL_S = 0.1
"""Interval at which a former primary looks for a newer one."""


async def call(address, method, **arguments):
    """Call a method of another stand-in's control interface."""
    response = await http.fetch(
        address, "POST", f"/{method}", arguments, timeout_s=5.0
    )
    if response.status != 200:
        raise RuntimeError(f"{method}: {response.body.decode()}")
    return msgspec.json.decode(response.body)


@ROLES.register("store")
class StoreRole:
    """The store; `serving` is its address."""

    def __init__(self, serving):
        self._store = kvstore.KvStore()
        self._address = serving

    async def start(self, nursery):
        """Start the store."""
        await self._store.start(nursery, self._address)

    async def put(self, key, data=None, raw=None):
        """Write a key; `raw` is text that need not be JSON."""
        value = data if raw is None else raw.encode()
        return self._store.put(key, value)

    async def get(self, key):
        """Return the data of a key, or None."""
        return self._store.get(key)

    async def delete(self, key):
        """Remove a key."""
        self._store.delete(key)


class RemoteGroup:
    """Group of another process, for `duties.PromotionServer`."""

    def __init__(self, name, control):
        self.name = name
        self._control = control

    async def promote(self, target):
        """Promote an instance; return whether it is the primary now."""
        return await call(self._control, "promote", target=target)


@ROLES.register("duties")
class DutiesRole:
    """The promotion API at `serving`, for `group` at its `control`."""

    def __init__(self, serving, group, control):
        self._server = duties.PromotionServer([RemoteGroup(group, control)])
        self._address = serving

    async def start(self, nursery):
        """Start the API."""
        await self._server.start(nursery, self._address)

    async def list_orders(self):
        """Return the orders in the order in which they arrived."""
        return [order._asdict() for order in self._server.orders]


@ROLES.register("group")
class GroupRole:
    """The instances of `group`, registered in the store at `store`.

    `addresses` and `domains` list those of the instances, by commas.
    """

    def __init__(self, group, addresses, domains, store):
        self._group = linegroup.Group(group)
        self._store = store
        self._draining = set()
        self._births = {}
        pairs = zip(addresses.split(","), domains.split(","))
        for number, (address, domain) in enumerate(pairs):
            self._group.add(f"i-{number}", address, domain)

    async def start(self, nursery):
        """Start the instances."""
        self._nursery = nursery
        for name, instance in self._group.instances.items():
            self._births[name] = 1
            await instance.start(nursery)
            nursery.start_soon(self._keep_registered, instance)
            nursery.start_soon(self._follow_newer_primary, instance)

    async def promote(self, target):
        """Promote an instance; return whether it is the primary now."""
        return await self._group.promote(target)

    async def get_roles(self):
        """Return role and term of the instances that run."""
        return {
            name: (item.role, item.term)
            for name, item in self._group.instances.items()
            if not item.is_down
        }

    async def set_fields(self, target, fields):
        """Set attributes of an instance, by which it misbehaves."""
        for name, value in fields.items():
            setattr(self._group.instances[target], name, value)

    async def drain(self, target, is_draining):
        """Let an instance report that it is about to leave, or not."""
        if is_draining:
            self._draining.add(target)
        else:
            self._draining.discard(target)

    async def crash(self, target):
        """End an instance at once."""
        if not self._group.instances[target].is_down:
            self._group.instances[target].crash()

    async def restart(self, target, keeps_log):
        """Start an instance again, under its id."""
        instance = self._group.instances[target]
        if not instance.is_down:
            return
        self._births[target] += 1
        newer = self._find_newer_primary(instance)
        if not keeps_log or newer is not None:
            instance.role = "replica"
        if not keeps_log:
            instance.log = []
            instance.term = 1
            instance.applied_count = 0
        instance.paused_term = 0
        await instance.start(self._nursery)

    async def list_commits(self):
        """Return the items in the log of the newest primary, in order."""
        primaries = [
            item
            for item in self._group.instances.values()
            if item.role == "primary"
        ]
        newest = max(primaries, key=lambda item: item.term)
        return [name for commit in newest.log for name, _ in commit.writes]

    def _find_newer_primary(self, instance):
        for item in self._group.instances.values():
            if item.role == "primary" and item.term > instance.term:
                return item
        return None

    async def _keep_registered(self, instance):
        """Write an instance's entry; remove it after `MAX_MISSED_BEATS`."""
        missed = 0
        while True:
            missed = missed + 1 if instance.is_down else 0
            with contextlib.suppress(exceptions.NetworkError):
                await self._register(instance, missed)
            await trio.sleep(HEARTBEAT_S)

    async def _register(self, instance, missed):
        key = f"servers/{instance.name}"
        if not missed:
            is_draining = instance.name in self._draining
            entry = self._group.make_entry(
                instance, "draining" if is_draining else "ready"
            )
            entry["born"] = self._births[instance.name]
            await call(self._store, "put", key=key, data=entry)
        elif missed == MAX_MISSED_BEATS:
            await call(self._store, "delete", key=key)

    async def _follow_newer_primary(self, instance):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            newer = self._find_newer_primary(instance)
            is_former = instance.role == "primary" and newer is not None
            if is_former and not (newer.is_down or newer.is_silent):
                await trio.sleep(linegroup.STEP_DOWN_DELAY_S)
                instance.role = "replica"


async def handle(role, request):
    """Call the method that a request names."""
    method = getattr(role, request.path.removeprefix("/"))
    result = await method(**msgspec.json.decode(request.body))
    return http.make_json_response(result)


async def serve(options):
    """Serve a role until cancelled."""
    fields = dict(item.split("=", 1) for item in options.fields)
    role = ROLES.get(options.role)(**fields)
    async with trio.open_nursery() as nursery:
        await role.start(nursery)
        handler = functools.partial(handle, role)
        await http.serve(nursery, options.control, handler)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins.serve")
    parser.add_argument("role")
    parser.add_argument("control")
    parser.add_argument("fields", nargs="*")
    trio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
