"""Stand-in for the platform's metadata store.

Each machine reaches it at an address of its own, so that a case can cut
single machines off. A cut path is silent: calls are neither carried out
nor answered, and no answer in transit arrives.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import web

READ_ONLY = ("op/", "servers/")
PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and a history.

    `cut` holds the names of the machines that do not reach it.
    """

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.cut = set()

    async def start(self, addresses):
        """Listen; `addresses` is host and port by machine."""
        self._servers = []
        for machine, (host, port) in addresses.items():

            async def handle(method, path, headers, body, machine=machine):
                return await self._handle(machine, method, path, body)

            self._servers.append(await web.serve(host, port, handle))
        self._expiry = asyncio.ensure_future(self._expire())

    def put(self, key, data, lease=0):
        """Write a key as the operator and the instances do."""
        value = data if isinstance(data, bytes) else json.dumps(data).encode()
        self._revision += 1
        former = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self._revision,
            "createRev": former["createRev"] if former else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._note(item)

    def delete(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "rev": self._revision, "tombstone": True})

    def get(self, key):
        """Return the data of a key, or None."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def list_keys(self, prefix):
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _note(self, event):
        self._history.append(event)
        if not event["key"].startswith("servers/"):
            value = event.get("value")
            text = base64.b64decode(value).decode() if value else "removed"
            self._record.note(
                f"store rev {event['rev']} {event['key']} {text[:200]}"
            )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["lease"] == lease]:
            self.delete(key)

    async def _handle(self, machine, method, path, body):
        if machine in self.cut:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        answer = await self._dispatch(method, path, body)
        if machine in self.cut:
            await asyncio.sleep(3600)
        return answer

    async def _dispatch(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        data = json.loads(body) if body else {}
        if path == "/-/kv-key":
            item = self._items.get(fields["key"])
            return (200 if item else 404), item or {}
        if path == "/-/kv-range":
            return 200, self._read_page(fields)
        if path == "/-/kv-watch":
            return await self._watch(fields)
        if path == "/-/kv-txn":
            return self._commit(data)
        if path == "/-/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            return 200, self._renew(lease, data["ttlMs"])
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            return 200, self._renew(lease, self._leases[lease][0])
        self._end_lease(lease)
        return 200, {}

    def _renew(self, lease, ttl_ms):
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return {"lease": lease, "ttlMs": ttl_ms}

    def _read_page(self, fields):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields.get("prefix", ""))
            and key > fields.get("after", "")
        )
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self._items[key] for key in page],
            "truncated": len(keys) > len(page),
            "asOf": self._revision,
        }

    def _commit(self, data):
        expected = data.get("expected", ())
        for row in expected:
            item = self._items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item] if item else []}
        for write in data.get("writes", ()):
            if write["key"].startswith(READ_ONLY):
                return 403, {}
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in data.get("writes", ()):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in data.get("deletes", ()):
            self.delete(key)
        return 200, {"rev": self._revision}

    async def _watch(self, fields):
        after = int(fields["after"])
        prefix = fields.get("prefix", "")
        ends_at = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
