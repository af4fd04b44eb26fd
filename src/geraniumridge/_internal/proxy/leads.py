"""Gives primaries up when they are replaced or evidence runs out."""

import logging

import trio

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

QUIET_S = 0.3
"""How long running statements may still end before they are dropped;
most take less."""

RETRY_S = 0.1
"""Pause after a call to the store that failed."""


class LeadKeeper:
    """Keeps this VM's use of primaries within its evidence.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    lease : callable
        Returns the number of the VM's lease.
    """

    def __init__(self, node, store, lease):
        self._node = node
        self._store = store
        self._lease = lease
        self._released = {}
        self._settled = {}

    def check(self, nursery):
        """Start releases and drop primaries after a change of the view."""
        state = self._node.view.state
        if state is None:
            return
        for group in state.groups:
            guard = self._node.get_guard(group)
            self._drop_unproved(group, guard)
            self._check_lead(nursery, group)
            self._check_change(group, guard)

    def check_evidence(self):
        """Drop primaries that need support and have lost it."""
        age_s = self._node.freshness.get_age(clock.now())
        state = self._node.view.state
        if state is None or age_s <= primacy.MAX_UNCONFIRMED_AGE_S:
            return
        for group in state.groups:
            self._drop_unproved(group, self._node.get_guard(group))

    def _drop_unproved(self, group, guard):
        if guard.target is None:
            return
        if not self._node.primacy.is_view_current(group, clock.now()):
            target = guard.target
            self._give_up(group, guard, "evidence ran out")
            # The VMs that can still use it need its connections.
            self._node.pools.get(target).close_idle()

    def _check_lead(self, nursery, group):
        lead = self._node.view.get_lead(group)
        if lead is None or not lead.is_pending:
            return
        key = fleet.make_lead_key(group)
        revision = self._node.view.get_revision(key)
        if self._released.get(group) == revision:
            return
        self._released[group] = revision
        nursery.start_soon(self._release, group, revision)

    def _check_change(self, group, guard):
        """Forget the former primary where another leads by now."""
        lead = self._node.view.get_lead(group)
        if lead is None or lead.is_pending:
            return
        if self._settled.get(group) == lead.target:
            return
        self._settled[group] = lead.target
        self._give_up(group, guard, "another target leads")

    async def _release(self, group, revision):
        guard = self._node.get_guard(group)
        await guard.wait_quiet(QUIET_S)
        self._give_up(group, guard, "replacement pending")
        key = fleet.make_lead_key(group)
        while self._node.view.get_revision(key) == revision:
            try:
                if self._lease():
                    await self._write(group, revision)
                    return
                # Without a lease the key would outlive this run.
                await trio.sleep(RETRY_S)
            except exceptions.PlatformError as error:
                logger.info(
                    "release not written",
                    extra={
                        "event": "release_retry",
                        "group": group,
                        "why": str(error),
                    },
                )
                await trio.sleep(RETRY_S)

    async def _write(self, group, revision):
        vm = self._node.settings.vm.name
        release = fleet.Release(vm, revision)
        write = store_port.Write(
            fleet.make_release_key(group, vm),
            fleet.encode_record(release),
            self._lease(),
        )
        await self._store.commit({}, [write])

    def _give_up(self, group, guard, why):
        logger.info(
            "primary given up",
            extra={
                "event": "primary_given_up",
                "group": group,
                "target": guard.target,
                "why": why,
            },
        )
        target = guard.target
        guard.end_epoch()
        self._node.get_marks(group).clear()
        if target is not None:
            self._node.pools.get(target).abort_busy()
