"""Stand-in for the platform of the HTTP deployment.

It serves a key-value store and the list of VMs. `standins.kvstore` is
the stand-in for the proxy of the line protocol.

Run as ``python -m standins.platform --address IP:port``. Keys have a
revision; writes are compare-and-swap; a read may wait for a change.
Faults are set through ``/admin/faults``: ``down`` (connections are
closed without an answer), ``delay_ms`` and ``lose_answers`` (how many of
the next writes take effect without an answer).
"""

import argparse
import functools
import urllib.parse

import msgspec
import trio

from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

MAX_VALUE_BYTES = 1_048_576
"""Largest encoded value; a write of a larger one gets a 413."""


class Store:
    """Keys with revisions, the list of VMs, and the faults to inject."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.vms = []
        self.faults = {"down": False, "delay_ms": 0, "lose_answers": 0}
        self.counters = {"reads": 0, "writes": 0, "watches": 0}
        self.changed = trio.Event()

    def read(self, key):
        """Return a key's value and revision; None and 0 if it is absent."""
        value, revision = self.entries.get(key, (None, 0))
        return {"value": value, "revision": revision}

    def write(self, key, value, expected_revision):
        """Write if the revision is as expected; return whether it was."""
        if self.read(key)["revision"] != expected_revision:
            return False
        self.revision += 1
        self.entries[key] = (value, self.revision)
        self.changed.set()
        self.changed = trio.Event()
        return True

    async def watch(self, key, known_revision, wait_s):
        """Return a key's value and revision once the latter has changed.

        After `wait_s` seconds, return them unchanged.
        """
        with trio.move_on_after(wait_s):
            while self.read(key)["revision"] == known_revision:
                await self.changed.wait()
                if self.faults["down"]:
                    raise trio.BrokenResourceError
        return self.read(key)


async def handle(store, request):
    """Answer one request."""
    path, _, query = request.path.partition("?")
    if path.startswith("/admin/"):
        return handle_admin(store, request, path)
    if store.faults["down"]:
        raise trio.BrokenResourceError
    await trio.sleep(store.faults["delay_ms"] / 1000)
    if path == "/vms":
        store.counters["reads"] += 1
        return http.make_json_response({"vms": store.vms})
    key = urllib.parse.unquote(path.removeprefix("/kv/"))
    if request.method == "PUT":
        return handle_write(store, key, msgspec.json.decode(request.body))
    options = dict(urllib.parse.parse_qsl(query))
    if "after" not in options:
        store.counters["reads"] += 1
        return http.make_json_response(store.read(key))
    store.counters["watches"] += 1
    known_revision, wait_s = int(options["after"]), float(options["wait_s"])
    return http.make_json_response(
        await store.watch(key, known_revision, wait_s)
    )


def handle_write(store, key, body):
    """Answer a compare-and-swap."""
    store.counters["writes"] += 1
    if len(msgspec.json.encode(body["value"])) > MAX_VALUE_BYTES:
        return http.make_json_response({"detail": "value too large"}, 413)
    is_written = store.write(key, body["value"], body["expected_revision"])
    if store.faults["lose_answers"] > 0:
        store.faults["lose_answers"] -= 1
        raise trio.BrokenResourceError
    return http.make_json_response(store.read(key), 200 if is_written else 409)


def handle_admin(store, request, path):
    """Answer requests of tests: VMs, faults and restored states."""
    data = msgspec.json.decode(request.body or b"{}")
    if path == "/admin/vms":
        store.vms = data["vms"]
    elif path == "/admin/faults":
        store.faults.update(data)
        store.changed.set()
        store.changed = trio.Event()
    elif path == "/admin/restore":
        # A restored backup is older: it lacks the keys written since.
        for key in data["forget"]:
            store.entries.pop(key, None)
    answer = {"faults": store.faults, "counters": store.counters}
    return http.make_json_response(answer)


async def serve(address):
    """Serve until cancelled."""
    store = Store()

    async def serve_stream(stream):
        handler = functools.partial(handle, store)
        limits = http.ServerLimits(max_body_bytes=2 * MAX_VALUE_BYTES)
        await http.ServerConnection(stream, handler, limits).run()

    async with trio.open_nursery() as nursery:
        await streams.serve(nursery, address, serve_stream)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", required=True)
    trio.run(serve, parser.parse_args().address)


if __name__ == "__main__":
    main()
