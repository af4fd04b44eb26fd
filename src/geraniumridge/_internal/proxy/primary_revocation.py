"""End of a VM's use of primaries that are replaced or unconfirmed."""

import logging

import trio

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

STATEMENT_GRACE_S = 0.3
"""How long running statements may take to end before they are aborted;
most take less."""

RETRY_DELAY_S = 0.1
"""Pause before an acknowledgement is written again, after a failed call
to the store or while the VM has no lease."""


class PrimaryRevoker:
    """Ends this VM's use of primaries that it may no longer rely on.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    exchange : proxy.acknowledgement_exchange.AcknowledgementExchange
        Delivers acknowledgements to other VMs.
    get_lease : callable
        Returns the number of the VM's lease, 0 without one.
    """

    def __init__(self, node, store, exchange, get_lease):
        self._node = node
        self._store = store
        self._exchange = exchange
        self._get_lease = get_lease
        self._acknowledged = {}
        self._known_primaries = {}

    def stop_using_replaced(self, nursery):
        """Stop using primaries that are replaced, and unconfirmed ones.

        Also starts to acknowledge the failovers in progress. Called when the
        view has changed.
        """
        state = self._node.view.state
        if state is None:
            return
        for group in state.groups:
            usage = self._node.get_primary_usage(group)
            self._stop_if_unconfirmed(group, usage)
            self._check_pending(nursery, group)
            self._check_new_primary(group, usage)

    def stop_using_unconfirmed(self):
        """Stop using primaries that lack the quorum confirmation they need.

        A primary needs it once the store view is older than
        `primary_resolver.MAX_UNCONFIRMED_AGE_S`. From that age on, this VM
        also stops using all primaries if it is not registered or its view is
        older than `primary_resolver.MAX_VIEW_AGE_S`. A primary of a former
        era of the store needs it, too.
        """
        age_s = self._node.view_age.get_age(clock.now())
        view = self._node.view
        if view.state is None:
            return
        groups = list(view.state.groups)
        if age_s <= primary_resolver.MAX_UNCONFIRMED_AGE_S:
            groups = view.list_groups_with_former_lead()
        for group in groups:
            self._stop_if_unconfirmed(
                group, self._node.get_primary_usage(group)
            )

    def _stop_if_unconfirmed(self, group, usage):
        if usage.target is None:
            return
        if not self._node.primary_resolver.may_use_primary(group, clock.now()):
            target = usage.target
            self._stop_using(group, usage, "evidence ran out")
            # Other VMs that may still use the target need its connections.
            self._node.pools.get(target).close_idle()

    def _check_pending(self, nursery, group):
        lead = self._node.view.get_lead(group)
        if lead is None or not lead.is_pending:
            return
        if self._node.view.is_lead_copied(group):
            # No failover asks for it.
            return
        key = fleet.make_lead_key(group)
        revision = self._node.view.get_revision(key)
        if self._acknowledged.get(group) == revision:
            return
        self._acknowledged[group] = revision
        nursery.start_soon(
            self._acknowledge, group, revision, self._get_grace_s()
        )

    def _get_grace_s(self):
        """Return how long running statements at a primary may still take.

        They were sent on the view before the failover was seen, and the VM
        that runs it waits no longer than such a view may be used.
        """
        sent_on = self._node.view_age.previous_confirmed_at
        expires_at = sent_on + primary_resolver.MAX_UNCONFIRMED_AGE_S
        return max(0.0, min(STATEMENT_GRACE_S, expires_at - clock.now()))

    def _check_new_primary(self, group, usage):
        """Stop using the former primary once another one is recorded."""
        lead = self._node.view.get_lead(group)
        if lead is None or lead.is_pending:
            return
        if self._known_primaries.get(group) == lead.target:
            return
        self._known_primaries[group] = lead.target
        self._stop_using(group, usage, "another target leads")

    async def _acknowledge(self, group, revision, grace_s):
        usage = self._node.get_primary_usage(group)
        await usage.wait_idle(grace_s)
        self._stop_using(group, usage, "replacement pending")
        key = fleet.make_lead_key(group)
        if self._node.view.get_revision(key) != revision:
            return
        holder = self._node.view.get_lead(group).holder
        if await self._exchange.deliver(group, revision, holder):
            return
        while self._node.view.get_revision(key) == revision:
            try:
                if self._get_lease():
                    await self._write_acknowledgement(group, revision)
                    return
                # Without a lease the key would outlive this daemon run.
                await trio.sleep(RETRY_DELAY_S)
            except exceptions.PlatformError as error:
                logger.info(
                    "acknowledgement not written",
                    extra={
                        "event": "release_retry",
                        "group": group,
                        "why": str(error),
                    },
                )
                await trio.sleep(RETRY_DELAY_S)

    async def _write_acknowledgement(self, group, revision):
        vm = self._node.settings.vm.name
        acknowledgement = fleet.Acknowledgement(
            vm, revision, self._node.make_commit_bound(group)
        )
        write = store_port.Write(
            fleet.make_acknowledgement_key(group, vm),
            fleet.encode_record(acknowledgement),
            self._get_lease(),
        )
        await self._store.commit({}, [write])

    def _stop_using(self, group, usage, why):
        logger.info(
            "stopped using primary",
            extra={
                "event": "primary_given_up",
                "group": group,
                "target": usage.target,
                "why": why,
            },
        )
        target = usage.target
        usage.end_epoch()
        if target is not None:
            self._node.pools.get(target).abort_busy()
