"""Stand-in for the platform's store, for the proxy of the line protocol.

The store has keys with revisions, leases and watches. It runs inside a
trio program (`KvStore.start`) on loopback. `standins.platform` is the
stand-in for the HTTP deployment. Tests inject faults through attributes:
`fault` (``"busy"`` answers 503, ``"many"`` 429, ``"reset"`` closes the
connection, ``"silent"`` never answers, None serves), `delay_s` and
`lose_answers` (how many of the next writes take effect without an
answer); `compact` drops the history. `make_backup` and `restore` bring the
store back to an earlier moment, as a new era; `era` is told in each answer
unless it is None.
"""

import base64
import typing
import urllib.parse

import msgspec
import trio

from geraniumridge._internal.network import http

PAGE_ITEMS = 500
"""Largest number of keys in one answer to a range read."""

READ_ONLY_PREFIXES = ("op/", "servers/")
"""Keys that only the platform and operators write; VMs get a 403."""

FAULT_STATUSES = {"busy": 503, "many": 429}
"""HTTP status of each value of `KvStore.fault` that gets an answer."""


class Backup(typing.NamedTuple):
    """What a store held at one moment."""

    items: dict
    leases: dict
    revision: int


class KvStore:
    """Keys with revisions, leases, a history, and the faults to inject."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.leases = {}
        self.fault = None
        self.delay_s = 0.0
        self.lose_answers = 0
        self.era = None
        self.requested_paths = []
        self._history = []
        self._compacted_revision = self.revision
        self._next_lease = 1
        self._changed = trio.Event()

    async def start(self, nursery, address):
        """Listen on ``IP:port``."""
        nursery.start_soon(self._expire_leases)
        await http.serve(nursery, address, self._handle_request)

    def put(self, key, data, lease=0):
        """Write a value as the platform or an operator does.

        Parameters
        ----------
        key : str
            The key.
        data : bytes or object
            The value; anything but bytes is encoded as JSON.
        lease : int, optional
            Lease that the key is bound to; 0 for none.

        Returns
        -------
        int
            The revision of the write.
        """
        value = data if isinstance(data, bytes) else msgspec.json.encode(data)
        self.revision += 1
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "createRev": previous["createRev"] if previous else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)
        return self.revision

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(
                {"key": key, "rev": self.revision, "tombstone": True}
            )

    def get(self, key):
        """Return a key's decoded JSON value, or None."""
        item = self.items.get(key)
        if item is None:
            return None
        return msgspec.json.decode(base64.b64decode(item["value"]))

    def list_values(self, key):
        """Return every value of a key in the history, oldest first."""
        return [
            msgspec.json.decode(base64.b64decode(event["value"]))
            for event in self._history
            if event["key"] == key and "value" in event
        ]

    def compact(self):
        """Drop the history; watches that start before it get a 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._wake_watches()

    def make_backup(self):
        """Return a `Backup` of the present contents."""
        return Backup(dict(self.items), dict(self.leases), self.revision)

    async def restore(self, backup, away_s=0.0, rewrites=None):
        """Be away for some time, then hold what a backup has.

        A new era begins. Leases run on from the restore.

        Parameters
        ----------
        backup : Backup
            The former contents.
        away_s : float
            Time in seconds during which calls get no answer.
        rewrites : dict, optional
            Values by key, None for a deleted key, that the platform and
            operators write again at once; by default all that they have
            changed since the backup.
        """
        self.fault = "reset"
        self._wake_watches()
        await trio.sleep(away_s)
        if rewrites is None:
            rewrites = self._list_foreign_changes(backup)
        self.items = dict(backup.items)
        now = trio.current_time()
        self.leases = {
            lease: (ttl_s, now + ttl_s)
            for lease, (ttl_s, _) in backup.leases.items()
        }
        self.revision = self._compacted_revision = backup.revision
        self._history.clear()
        self.era = (self.era or 0) + 1
        self.fault = None
        for key, value in rewrites.items():
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)
        self._wake_watches()

    def _list_foreign_changes(self, backup):
        """Return what the platform and operators changed since a backup."""
        changes = {}
        for key in sorted(self.items.keys() | backup.items.keys()):
            item = self.items.get(key)
            if not key.startswith(READ_ONLY_PREFIXES):
                continue
            if item != backup.items.get(key):
                changes[key] = item and base64.b64decode(item["value"])
        return changes

    def _record_event(self, event):
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _expire_leases(self):
        while True:
            await trio.sleep(0.02)
            now = trio.current_time()
            for lease, (ttl_s, expires_at) in list(self.leases.items()):
                if now >= expires_at:
                    self._revoke_lease(lease)

    def _revoke_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items()]
        for key in keys:
            if self.items[key]["lease"] == lease:
                self.delete(key)

    async def _handle_request(self, request):
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault == "reset":
            raise trio.BrokenResourceError
        if self.fault is not None:
            return http.Response(FAULT_STATUSES[self.fault], b"{}")
        path, _, query = request.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.requested_paths.append(path)
        await trio.sleep(self.delay_s)
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/-/kv-watch":
            return await self._watch(fields)
        era = self.era
        status, data = self._dispatch(path, fields, body)
        if path == "/-/kv-txn" and self.lose_answers > 0:
            self.lose_answers -= 1
            raise trio.BrokenResourceError
        return self._make_response(data, status, era)

    def _make_response(self, data, status, era):
        headers = () if era is None else (("Store-Era", str(era)),)
        return http.make_json_response(data, status, headers)

    def _dispatch(self, path, fields, body):
        if path == "/-/kv-key":
            item = self.items.get(fields["key"])
            data = {**(item or {}), "asOf": self.revision}
            return (200 if item else 404), data
        if path == "/-/kv-range":
            return 200, self._read_page(fields)
        if path == "/-/kv-txn":
            return self._commit(body)
        if path == "/-/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = body["ttlMs"] / 1000
            self.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}
        self._revoke_lease(lease)
        return 200, {}

    def _read_page(self, fields):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields.get("prefix", ""))
            and key > fields.get("after", "")
        )
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "truncated": len(keys) > len(page),
            "asOf": self.revision,
        }

    def _commit(self, body):
        for condition in body["expected"]:
            item = self.items.get(condition["key"])
            if (item["rev"] if item else 0) != condition["rev"]:
                return 412, {"items": []}
        for write in body["writes"]:
            if write["key"].startswith(READ_ONLY_PREFIXES):
                return 403, {}
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("deletes", ()):
            self.delete(key)
        return 200, {"rev": self.revision}

    async def _watch(self, fields):
        after_revision = int(fields["after"])
        prefix = fields.get("prefix", "")
        era = self.era
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while after_revision >= self._compacted_revision:
                if era != self.era:
                    raise trio.BrokenResourceError
                if after_revision > self.revision:
                    return self._make_response({}, 410, era)
                changed = self._changed
                if self._list_events(prefix, after_revision):
                    break
                await changed.wait()
        if after_revision < self._compacted_revision:
            return self._make_response({}, 410, era)
        data = {
            "events": self._list_events(prefix, after_revision),
            "asOf": self.revision,
        }
        return self._make_response(data, 200, era)

    def _list_events(self, prefix, after_revision):
        return [
            event
            for event in self._history
            if event["rev"] > after_revision
            and event["key"].startswith(prefix)
        ]
