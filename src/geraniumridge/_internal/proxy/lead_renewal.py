"""Renewal of leadership records after the store was restored.

A leadership record that a store was restored with may name a former primary,
and the one that was written since is lost. The primary that all targets of the
group agree on is recorded again, without a failover.
"""

import logging

from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view as view_module
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import control
from geraniumridge._internal.proxy import group_connections
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.5
"""Pause before targets that did not agree are asked again."""

UNKNOWN_FORMER_DELAY_S = view_module.REREGISTRATION_GRACE_S + 1.0
"""Additional delay of a VM that does not know the primary of the former era.
Targets that the restored store has lost are registered again by then."""


class LeadRenewer:
    """Renewal of the groups' leadership records by one VM.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    view_exchange : proxy.view_exchange.ViewExchange
        Notifies the other VMs of renewed records.
    """

    def __init__(self, node, store, view_exchange):
        self._node = node
        self._store = store
        self._view_exchange = view_exchange
        self._running = set()
        self._retry_at = {}

    def start_if_due(self, nursery, group, rank_delay_s, now):
        """Renew a group's record in a task of a nursery, if it is due.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the task.
        group : str
            A group whose leadership record is a copy.
        rank_delay_s : float
            Delay by which VMs that rank before go first, in seconds.
        now : float
            Clock time, in seconds.
        """
        view = self._node.view
        delay_s = rank_delay_s
        if view.get_former_lead(group) is None:
            delay_s += UNKNOWN_FORMER_DELAY_S
        due_at = max(
            view.era_began_at + delay_s, self._retry_at.get(group, now)
        )
        if group in self._running or now < due_at:
            return
        self._running.add(group)
        nursery.start_soon(self._run, group)

    async def _run(self, group):
        try:
            await self._renew(group)
        finally:
            self._running.discard(group)
            self._retry_at[group] = clock.now() + RETRY_DELAY_S

    async def _renew(self, group):
        """Ask the targets, and record the primary that they agree on."""
        view = self._node.view
        key = fleet.make_lead_key(group)
        era = view.era
        revision = view.get_revision(key)
        statuses = await self._fetch_statuses(group)
        primary = succession.find_proved_primary(statuses)
        if not self._may_record(group, primary, era, revision):
            self._log_unproved(group, statuses)
            return
        lead = fleet.Lead(
            primary,
            statuses[primary].term,
            self._node.settings.vm.name,
            is_pending=False,
            era=era,
        )
        write = store_port.Write(key, fleet.encode_record(lead))
        try:
            await self._store.commit({key: revision}, [write])
        except exceptions.PlatformError as error:
            _log("lead not renewed", group, why=str(error))
            return
        _log("lead renewed", group, target=primary, term=lead.term, era=era)
        await self._view_exchange.notify_all()

    async def _fetch_statuses(self, group):
        """Return the status by id of each registered target of a group."""
        connections = group_connections.GroupConnections(self._node, group)
        connections.refresh()
        try:
            return await control.ask_all(
                connections.list_registered_others(None),
                lambda connection: connection.inspect(),
            )
        finally:
            connections.close()

    def _may_record(self, group, primary, era, revision):
        """Return whether a primary may be recorded as that of an era.

        `revision` is that of the record that it replaces.
        """
        view = self._node.view
        if primary is None or view.era != era:
            return False
        if view.get_revision(fleet.make_lead_key(group)) != revision:
            return False
        return promotion_orders.may_become_primary(
            view.get_order(group), primary, clock.now()
        )

    def _log_unproved(self, group, statuses):
        """Log what the targets of a group have told."""
        _log(
            "lead not proved",
            group,
            statuses={
                target_id: status
                and [status.role.value, status.term, status.paused_term]
                for target_id, status in statuses.items()
            },
        )


def _log(message, group, **fields):
    logger.info(
        message,
        extra={
            "event": message.replace(" ", "_"),
            "group": group,
            **fields,
        },
    )
