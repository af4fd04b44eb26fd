"""One failover of a group, as run by a VM."""

import logging
import math

import trio

from geraniumridge._internal.decisions import acknowledged_commits
from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import revisions
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import control
from geraniumridge._internal.proxy import group_connections
from geraniumridge._internal.proxy import promotion_sender
from geraniumridge._internal.proxy import successor_search
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05
"""Interval at which targets and the store view are polled."""

CATCH_UP_TIMEOUT_S = 2.5
"""How long a replica may take to receive the whole log of a primary that
still leads but is to be replaced."""

EFFECT_TIMEOUTS_S = {
    promotion_sender.Outcome.NOT_SENT: 0.0,
    promotion_sender.Outcome.REFUSED: 0.0,
    promotion_sender.Outcome.ANSWERED: 3.0,
    promotion_sender.Outcome.UNANSWERED: 1.0,
}
"""How long a target may take to become primary once the outcome of the order
to promote it is known. One that went unanswered is then repeated."""

RETRY_DELAY_S = 0.2
"""Pause before the next attempt at a step that did not complete."""

RESUME_ATTEMPTS = 10
"""Attempts to make replicas resume replication and a former primary step
down."""


class FailoverRun:
    """One run of a failover in progress.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Client that promotes the next primary.
    view_exchange : proxy.view_exchange.ViewExchange
        Notifies the other VMs when the failover has completed.
    group : str
        The group.
    may_keep_old : bool
        Whether the old primary may stay if it answers again.
    pending_since : float or None
        Clock time in seconds since when the failover has been in progress
        without interruption, None if this VM has just recorded it.
    """

    def __init__(
        self,
        node,
        store,
        promoter,
        view_exchange,
        group,
        may_keep_old,
        pending_since=None,
    ):
        self._node = node
        self._store = store
        self._view_exchange = view_exchange
        self._group = group
        self._key = fleet.make_lead_key(group)
        self._lead = node.view.get_lead(group)
        self._revision = node.view.get_revision(self._key)
        self._completed_lead = None
        self._old_address = self._find_address(self._lead.target)
        self._may_keep_old = may_keep_old
        self._pending_since = pending_since
        self._connections = group_connections.GroupConnections(node, group)
        self._search = successor_search.SuccessorSearch(
            node, group, self._revision, self._connections, self._log
        )
        self._was_order_logged = False
        self._was_era_logged = False
        self._sender = promotion_sender.PromotionSender(
            node, store, promoter, group, self._revision
        )

    async def run(self):
        """Run until the failover completes or this VM may not continue.

        It may not once another VM has changed the leadership record, or if
        its store view is too old.
        """
        try:
            async with trio.open_nursery() as nursery:
                # Targets that do not answer get a shorter timeout later.
                nursery.start_soon(self._query_targets)
                await self._wait_acknowledged()
            while self._may_continue():
                if await self._run_attempt():
                    return
                await trio.sleep(RETRY_DELAY_S)
        finally:
            self._connections.close()

    async def _query_targets(self):
        self._refresh_connections()
        await control.ask_all(
            self._connections, lambda connection: connection.inspect()
        )

    def _may_continue(self):
        """Return whether this VM may still run the failover."""
        if self._is_superseded():
            return False
        now = clock.now()
        return self._node.view_age.is_within(
            now, succession.MAX_HOLDER_VIEW_AGE_S
        )

    def _is_superseded(self):
        """Return whether another VM has changed the leadership record.

        The store's answer to the write that completes the failover need not
        be the record's revision, as it may count what else is written.
        """
        if self._node.view.get_revision(self._key) == self._revision:
            return False
        lead = self._node.view.get_lead(self._group)
        return lead != self._completed_lead

    async def _wait_acknowledged(self):
        """Wait until no VM can use the old primary any more.

        Ends early if another VM has changed the leadership record. The
        `silent` of the event `lead_released` is also empty if it is not
        known which VMs have not acknowledged.
        """
        started = clock.now()
        pending_at = self._pending_since or started
        fence = succession.Fence(
            self._group,
            self._revision,
            pending_at,
            self._node.acknowledgements,
        )
        while not fence.is_established(self._node.view, clock.now()):
            if self._is_superseded():
                return
            await trio.sleep(POLL_INTERVAL_S)
        waited_s = round(clock.now() - started, 3)
        unacknowledged = fence.list_unacknowledged(
            self._node.view, clock.now()
        )
        self._log(
            "lead released",
            waited_s=waited_s,
            silent=sorted(unacknowledged or ()),
        )

    async def _run_attempt(self):
        """Make one attempt; return whether the failover completed."""
        self._refresh_connections()
        statuses = await control.ask_all(
            self._connections, lambda connection: connection.inspect()
        )
        old = statuses.get(self._lead.target)
        term = _find_newest_term(statuses.values(), self._lead.term)
        primary = succession.find_promoted_target(self._lead, statuses)
        if primary is not None:
            if not self._may_become_primary(primary):
                return False
            return await self._complete(primary, statuses[primary].term)
        is_still_primary = old is not None and old.role is desired.Role.PRIMARY
        if is_still_primary and self._may_keep_primary(old):
            await self._resume_others()
            return await self._record_completion(self._lead.target, old.term)
        if not self._may_send_order():
            return False
        min_position = None
        if is_still_primary:
            min_position = old.received
            await self._wait_catch_up(min_position)
        return await self._promote(term, min_position)

    def _may_become_primary(self, target_id):
        seen = self._node.view.get_order(self._group)
        if not self._lead.target:
            # The target may be a former primary that was never recorded.
            return promotion_orders.may_keep_primary(seen, target_id)
        return promotion_orders.may_become_primary(
            seen, target_id, clock.now()
        )

    def _may_keep_primary(self, status):
        """Return whether the failover may end with the old primary.

        `status` is that of the old primary, which still leads. It may lead a
        former term alone, after a replacement that a restored store lost.
        """
        seen = self._node.view.get_order(self._group)
        if not self._may_keep_old or not promotion_orders.may_keep_primary(
            seen, self._lead.target
        ):
            return False
        if self._must_leave(self._lead.target):
            return False
        told = acknowledged_commits.combine_bounds(
            self._node.view,
            self._node.acknowledgements,
            self._group,
            self._revision,
        )
        if status.received >= told.position:
            return True
        self._log(
            "old primary lacks commits",
            received=status.received,
            acknowledged=told.position,
        )
        return False

    def _must_leave(self, target_id):
        """Return whether another target has to take a primary's place.

        It may have begun to leave since the failover was started.
        """
        view = self._node.view
        return not self._connections.may_be_promoted(
            target_id
        ) and succession.has_successor(
            view.list_group(self._group), target_id, view.evacuated
        )

    def _may_send_order(self, target_id=None):
        """Return whether an order may be sent now.

        Parameters
        ----------
        target_id : str, optional
            Target of the order; by default that of the newest order.
        """
        if self._node.view.may_have_unseen_order(self._group, clock.now()):
            if not self._was_era_logged:
                self._was_era_logged = True
                self._log("waiting for orders of a former era")
            return False
        seen = self._node.view.get_order(self._group)
        if target_id is None and seen is not None:
            target_id = seen.order.target
        if promotion_orders.may_send(
            seen, target_id, self._revision, clock.now()
        ):
            return True
        if not self._was_order_logged:
            self._was_order_logged = True
            self._log("waiting for an earlier order", **seen.order._asdict())
        return False

    async def _promote(self, term, min_position):
        chosen = await self._search.choose(
            self._lead.target, term + 1, min_position
        )
        if chosen is None or not self._may_order(chosen.target.id):
            await self._resume_others()
            return False
        new_term = await self._order_promotion(chosen.target.id, chosen.status)
        if new_term is None:
            return False
        return await self._complete(chosen.target.id, new_term)

    def _may_order(self, target_id):
        return self._may_continue() and self._may_send_order(target_id)

    async def _order_promotion(self, target_id, former_status):
        """Order a promotion; return the target's term once it leads.

        `former_status` is the target's status before. Returns None if it does
        not lead in time. The others receive the log again if the order has
        certainly no effect.
        """
        async with trio.open_nursery() as nursery:
            self._sender.start(
                nursery, target_id, lambda: self._may_order(target_id)
            )
            new_term = await self._wait_until_primary(target_id, former_status)
            nursery.cancel_scope.cancel()
        if self._sender.outcome in promotion_sender.WITHOUT_EFFECT:
            await self._resume_others()
        return new_term

    async def _wait_until_primary(self, target_id, former_status):
        """Return the term once the target is primary, or None on timeout."""
        deadline = math.inf
        while trio.current_time() < deadline:
            if deadline == math.inf and self._sender.outcome is not None:
                wait_s = EFFECT_TIMEOUTS_S[self._sender.outcome]
                deadline = trio.current_time() + wait_s
            status = await self._connections.get(target_id).inspect()
            if status is not None and self._leads(status, former_status):
                return status.term
            await trio.sleep(POLL_INTERVAL_S)
        return None

    def _leads(self, status, former_status):
        """Return whether an order has made a target primary.

        To promote the present primary changes nothing, not even its term.
        """
        if status.role is not desired.Role.PRIMARY:
            return False
        return (
            former_status.role is desired.Role.REPLICA
            or status.term > former_status.term
            or self._sender.outcome is promotion_sender.Outcome.ANSWERED
        )

    async def _complete(self, target_id, term):
        """Record the new primary, then make the others follow it."""
        if not await self._record_completion(target_id, term):
            return False
        for _ in range(RESUME_ATTEMPTS):
            if self._is_superseded():
                return True
            is_incomplete = await self._reconfigure_others(target_id, term)
            if not is_incomplete:
                break
            await trio.sleep(RETRY_DELAY_S)
        return True

    async def _reconfigure_others(self, primary, term):
        """Make the other targets replicas of the new primary.

        Returns whether some of them did not answer.
        """
        answers = await control.ask_all(
            self._connections.list_registered_others(primary),
            lambda connection: _follow_primary(connection, term),
        )
        return any(status is None for status in answers.values())

    async def _record_completion(self, target_id, term):
        lead = fleet.Lead(
            target_id,
            term,
            self._node.settings.vm.name,
            is_pending=False,
            era=revisions.get_era(self._revision),
        )
        write = store_port.Write(self._key, fleet.encode_record(lead))
        settled_orders = self._sender.list_settled(
            target_id, term > self._lead.term
        )
        try:
            await self._store.commit(
                {self._key: self._revision}, [write], settled_orders
            )
        except exceptions.PlatformError as error:
            self._log("lead not settled", target=target_id, why=str(error))
            return False
        self._completed_lead = lead
        self._log("lead settled", target=target_id, term=term)
        await self._view_exchange.notify_all()
        return True

    async def _wait_catch_up(self, min_position):
        """Wait until a replica has received a log position.

        Only replicas that may be promoted count; the time is limited.
        """
        with trio.move_on_after(CATCH_UP_TIMEOUT_S):
            while True:
                for connection in self._list_candidates():
                    status = await connection.inspect()
                    if status is not None and status.received >= min_position:
                        return
                await trio.sleep(POLL_INTERVAL_S)

    def _list_candidates(self):
        return [
            item
            for item in self._connections.list_others(self._lead.target)
            if self._connections.may_be_promoted(item.target.id)
        ]

    async def _resume_others(self):
        await control.ask_all(
            self._connections.list_others(self._lead.target),
            lambda connection: connection.resume(),
        )

    def _refresh_connections(self):
        self._follow_old_primary()
        self._connections.refresh()

    def _find_address(self, target_id):
        """Return a target's address, None if it is no longer known."""
        view = self._node.view
        target = view.targets.get(target_id) or view.find_departed(target_id)
        return target.address if target else None

    def _follow_old_primary(self):
        """Adopt the id under which the old primary has returned, if any.

        One that returns as a replica may be promoted like the others.
        """
        for target in self._node.view.list_group(self._group):
            is_primary = target.role is desired.Role.PRIMARY
            if is_primary and target.address == self._old_address:
                self._lead = self._lead._replace(target=target.id)

    def _log(self, message, **fields):
        event = message.replace(" ", "_")
        logger.info(
            message,
            extra={
                "event": event,
                "group": self._group,
                "old": self._lead.target,
                "fence": self._revision,
                **fields,
            },
        )


def _find_newest_term(statuses, known):
    """Return the newest of a known term and those of the targets."""
    terms = [known]
    for status in statuses:
        if status is not None:
            terms.append(status.term)
            terms.append(status.paused_term)
    return max(terms)


async def _follow_primary(connection, term):
    """Make a replica resume replication, or a former primary step down."""
    status = await connection.inspect()
    if status is None:
        return None
    if status.role is desired.Role.PRIMARY:
        return await connection.step_down(term)
    if status.paused_term:
        return await connection.resume()
    return status
