"""Stand-in for the platform's API for singleton duties.

It does not check fences (`requireFence` is false). While `is_down`, calls
arrive but are carried out, in their order, only once it works again.
"""

import asyncio
import json

import web

PROMOTE_S = 0.3


class Duties:
    """Server of `POST /promote`."""

    def __init__(self, record, groups):
        self._record = record
        self._groups = {group.name: group for group in groups}
        self._up = asyncio.Event()
        self._up.set()
        self._newest = {}
        self.arrived = []
        self.calls = []
        self.on_promote = None

    async def start(self, host, port):
        self._server = await web.serve(host, port, self._handle)

    def set_down(self, is_down):
        self._record.note(f"duties {'down' if is_down else 'up'}")
        if is_down:
            self._up.clear()
        else:
            self._up.set()

    async def _handle(self, method, path, headers, body):
        data = json.loads(body)
        service, name = data["service"], data["id"]
        fence = int(headers["x-geraniumridge-fencing-token"])
        holder = headers["x-geraniumridge-lease-holder"]
        self._record.note(f"promote arrives {name} {holder} fence {fence}")
        self.arrived.append((service, name))
        await self._up.wait()
        self._record.note(f"promote accepted {name} {holder} fence {fence}")
        self.calls.append((service, name, holder, fence))
        known, known_holder = self._newest.get(service, (0, None))
        if fence < known:
            self._record.note_broken(
                "ONE",
                f"{holder} sends fence {fence} for {service},"
                f" {known} of {known_holder} was seen before",
            )
        if fence == known and holder != known_holder:
            self._record.note_broken(
                "ONE", f"{holder} and {known_holder} both sent fence {fence}"
            )
        if fence > known:
            self._newest[service] = (fence, holder)
        group = self._groups[service]
        if not group.instances[name].is_running:
            return 409, {}
        asyncio.ensure_future(self._promote(group, name))
        return 200, {}

    async def _promote(self, group, name):
        await asyncio.sleep(PROMOTE_S)
        if not group.instances[name].is_running:
            return
        if self.on_promote is not None:
            self.on_promote(group, name)
        group.promote(name)
