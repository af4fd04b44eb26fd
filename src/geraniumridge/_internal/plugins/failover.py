"""Keeps the record of terms: adopts new groups."""

import contextlib
import logging

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5


@registry.PLUGINS.register("failover")
class Failover(kernel.Plugin):
    """Observes the groups whose observer this VM is."""

    async def start(self, nursery):
        """Start observing."""
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._terms = self._kernel.get("terms")
        nursery.start_soon(self._observe)

    async def _observe(self):
        while True:
            for group in list(self._configuration.document.groups):
                if self._membership.owns(f"observer/{group}"):
                    with contextlib.suppress(exceptions.GeraniumridgeError):
                        await self._check_group(group)
            await trio.sleep(self._settings.authority.probe_every_s)

    async def _check_group(self, group):
        if self._terms.authority.get_group(group) is None:
            await self._adopt(group)

    async def _adopt(self, group):
        """Record the primary of a group that has no term yet."""
        for target in self._configuration.document.groups[group].targets:
            with contextlib.suppress(exceptions.GeraniumridgeError):
                status = await self.control(group, target, "status")
                if status.is_primary:
                    term = records.GroupTerm(status.term, target)
                    await self._terms.update(group, None, term)
                    return

    async def control(self, group, target, action, term=0):
        """Run a control action on a target through its gateway."""
        entry = self._configuration.document.groups[group].targets[target]
        name = f"{group}/{target}"
        owner = self._membership.find_owner(entry.domain, name)
        if owner is None:
            raise exceptions.UnavailableError(f"no gateway of {name}")
        message = wire.messages.Promote(
            group=group, target=target, action=action, term=term
        )
        return await self._peers.call(owner.address, message, CALL_TIMEOUT_S)
