"""Which VMs there are and which of them owns what."""

import logging
import typing

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import platform
from geraniumridge._internal.utils import rendezvous

logger = logging.getLogger(__name__)

LIST_EVERY_S = 1.0


class Peer(typing.NamedTuple):
    """A VM of the system."""

    name: str
    address: str


@registry.PLUGINS.register("membership")
class Membership(kernel.Plugin):
    """Placement over the VMs that the platform lists."""

    def __init__(self, owner):
        super().__init__(owner)
        self._platform = platform.PlatformClient(
            self._settings.platform.address,
            self._settings.platform.timeout_s,
        )
        self._domains = {}
        self._changed = trio.Event()

    async def start(self, nursery):
        """Start following the list."""
        nursery.start_soon(self._follow_list)

    def owns(self, name):
        """Tell whether this VM owns a placement of its domain."""
        peer = self.find_owner(self._settings.vm.domain, name)
        return peer is not None and peer.name == self._settings.vm.name

    def find_owner(self, domain, name):
        """Return the `Peer` that owns a placement, or None."""
        members = self._domains.get(domain, {})
        owner = rendezvous.choose_node(name, members)
        return members.get(owner)

    def find_vm(self, name):
        """Return the `Peer` of a name, or None."""
        for members in self._domains.values():
            if name in members:
                return members[name]
        return None

    async def wait_changed(self, timeout_s):
        """Wait until placement may have changed, or for a while."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()

    async def _follow_list(self):
        while True:
            try:
                self._take_list(await self._platform.list_vms())
            except exceptions.PlatformError as error:
                logger.debug("no list of VMs", extra={"reason": str(error)})
            await trio.sleep(LIST_EVERY_S)

    def _take_list(self, entries):
        domains = {}
        for item in entries:
            members = domains.setdefault(item.domain, {})
            members[item.name] = Peer(item.name, item.address)
        if domains != self._domains:
            self._domains = domains
            self._changed.set()
            self._changed = trio.Event()
