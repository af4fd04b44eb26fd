"""Detection of failed primaries and the start of failovers."""

import logging
import math
import typing

import trio

from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import control
from geraniumridge._internal.proxy import lead_renewal
from geraniumridge._internal.proxy import replacement
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from geraniumridge._internal.utils import rounds

logger = logging.getLogger(__name__)

SILENCE_BEFORE_PROBE_S = 0.3
"""Time without an answer after which a primary is asked for its status;
few statements take as long."""

PROBE_TIMEOUT_S = 0.3
"""Timeout of that status request within one region; covers a new
connection."""

NO_PRIMARY_DELAY_S = 2.0
"""How long a group may be without a primary before a failover starts;
targets whose entries expired have registered again by then."""

UNANSWERED_WRITES_LIMIT = 3
"""Unanswered writes after which a primary that still answers other
statements counts as cut off from its replicas."""

NOT_PRIMARY_ANSWERS_LIMIT = 3
"""Answers that the target is not primary, without a successful write in
between, after which it is replaced."""

RANK_DELAY_S = 0.05
"""Delay per rank in a group's order of VMs, so that they do not all
start the same failover; covers a write to the store and its
notification to the others. The longest round trip between the regions is
added."""

MAX_RANK_DELAY_S = 1.0
"""Upper bound of the delay by rank."""

UNKNOWN_DEPARTURES_DELAY_S = 1.0
"""Additional delay of a VM that may not know all VMs that left, since its
store view became complete only recently; it would have to wait longer for
the acknowledgements of silent VMs."""

STARTUP_DELAY_S = 2.5
"""Time after the store view became complete during which a VM starts no
failover. This begins again with each listing that follows a gap; entries
that expired in an outage are back by then."""

MAX_START_VIEW_AGE_S = 1.0
"""Age of the store view above which no failover starts. The VM itself may
be cut off, and a write whose answer is lost may be applied much later."""

UNPROVED_DELAY_S = (
    lead_renewal.UNKNOWN_FORMER_DELAY_S + 2 * lead_renewal.RETRY_DELAY_S
)
"""Time after a restore of the store after which a VM that does not know the
primary of the former era starts a failover."""

GROUPS_PER_CHECK = 120
"""Groups examined per check, which bounds its cost in a fleet with
thousands of groups; each of 1,200 groups is examined once a second."""

MIN_FAILOVER_INTERVAL_S = 3.0
"""Minimum time between two failovers of one group, unless its primary is
leaving. It is counted from the last check at which this VM saw a pending
leadership record of the group, either another VM's or its own after its run
had ended early."""


class Reason(typing.NamedTuple):
    """Reason for replacing a primary.

    With `may_keep_old` the old primary stays if it answers again, and
    with `needs_probe` it is asked for its status before the failover
    starts. The reason must have held for `wait_s` seconds. With `is_leaving`
    the primary has to go within a bound, and no failover returns to it.
    """

    text: str
    may_keep_old: bool = False
    needs_probe: bool = False
    wait_s: float = 0.0
    is_leaving: bool = False


SILENT = Reason("silent", may_keep_old=True, needs_probe=True)
"""The primary leaves statements of this VM unanswered."""

SUSPECTED = Reason("suspected", may_keep_old=True, needs_probe=True)
"""Another VM has reported that the primary does not answer it."""


class FailoverMonitor:
    """Failure detector for the primaries of all groups.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Client that promotes the next primary.
    view_exchange : proxy.view_exchange.ViewExchange
        Notifies the other VMs of changed leadership records.
    suspicions : proxy.suspicion_exchange.SuspicionExchange
        Reports on primaries that do not answer some VMs.
    """

    def __init__(self, node, store, promoter, view_exchange, suspicions):
        self._node = node
        self._store = store
        self._promoter = promoter
        self._view_exchange = view_exchange
        self._suspicions = suspicions
        self._lead_renewer = lead_renewal.LeadRenewer(
            node, store, view_exchange
        )
        self._rounds = rounds.RoundRobin(GROUPS_PER_CHECK)
        self._running_groups = set()
        self._reason_since = {}
        self._pending_revisions = {}
        self._last_pending_at = {}
        self._leading_since = {}

    def check(self, nursery):
        """Start the failovers that are due; called periodically."""
        state = self._node.view.state
        now = clock.now()
        if state is None:
            return
        may_start = self._may_start_failover(now)
        for group in self._rounds.take_batch(list(state.groups)):
            self._track_pending(group, now)
            self._check_copied(nursery, group, now)
            if may_start and group not in self._running_groups:
                self._check_group(nursery, group, now)

    def _check_copied(self, nursery, group, now):
        """Renew a leadership record that the store was restored with."""
        if not self._node.view.is_lead_copied(group):
            return
        is_member = self._node.primary_resolver.is_self_registered()
        if is_member and self._has_current_view(now):
            self._lead_renewer.start_if_due(
                nursery, group, self._get_rank_delay_s(group), now
            )

    def _may_start_failover(self, now):
        since = self._node.view.complete_since
        if since is None or now - since < STARTUP_DELAY_S:
            return False
        return (
            self._has_current_view(now)
            and self._node.primary_resolver.is_self_registered()
        )

    def _has_current_view(self, now):
        return self._node.view_age.is_within(now, MAX_START_VIEW_AGE_S)

    def _check_group(self, nursery, group, now):
        lead = self._node.view.get_lead(group)
        if lead is not None and lead.is_pending:
            self._last_pending_at[group] = now
            self._reason_since.pop(group, None)
            self._check_takeover(nursery, group, lead, now)
            return
        reason = self._find_reason(group, now)
        if reason is SILENT:
            self._suspicions.report(nursery, group, now)
        if reason is None:
            self._reason_since.pop(group, None)
            return
        since = self._reason_since.setdefault(group, now)
        last_pending_at = self._last_pending_at.get(group, -math.inf)
        is_too_soon = now - last_pending_at < MIN_FAILOVER_INTERVAL_S
        if is_too_soon and not reason.is_leaving:
            return
        if now - since >= max(reason.wait_s, self._get_start_delay_s(group)):
            self._start(nursery, group, reason)

    def _track_pending(self, group, now):
        """Record since when a failover's leadership record is unchanged."""
        lead = self._node.view.get_lead(group)
        if lead is None or not lead.is_pending:
            self._pending_revisions.pop(group, None)
            self._leading_since.pop(group, None)
            return
        key = fleet.make_lead_key(group)
        revision = self._node.view.get_revision(key)
        known_revision, _ = self._pending_revisions.get(group, (None, now))
        if known_revision != revision:
            self._pending_revisions[group] = (revision, now)

    def _check_takeover(self, nursery, group, lead, now):
        """Continue this VM's own failover or one that another abandoned.

        A VM that has recorded an order lately still runs its failover.
        """
        if self._node.view.is_lead_copied(group):
            self._check_unproved(nursery, group, now)
            return
        _, since = self._pending_revisions[group]
        seen_order = self._node.view.get_order(group)
        active_at = max(since, seen_order.seen_at) if seen_order else since
        self._note_leading(group, now)
        active_at = max(active_at, self._leading_since.get(group, active_at))
        if now - active_at >= self._get_takeover_delay_s(group, lead):
            reason = Reason("taken over", may_keep_old=lead.may_keep_target)
            self._start(nursery, group, reason, since)

    def _check_unproved(self, nursery, group, now):
        """Start a failover where a restored record cannot be renewed.

        No VM has acknowledged that it stopped using the primary, so nothing
        of the former era counts for this failover.
        """
        view = self._node.view
        delay_s = self._get_rank_delay_s(group)
        if view.get_former_lead(group) is None:
            delay_s += UNPROVED_DELAY_S
        if now - view.era_began_at >= delay_s:
            reason = Reason("restored", may_keep_old=True)
            self._start(nursery, group, reason)

    def _get_takeover_delay_s(self, group, lead):
        """Return how long the record of a failover may stay unchanged."""
        if lead.holder == self._node.run_id:
            # This VM no longer runs it: its run ended early, or the store
            # applied its write although the answer was lost.
            return 0.0
        delay_s = self._get_rank_delay_s(group)
        if not self._is_holder_registered(lead.holder):
            return delay_s
        if group in self._leading_since:
            return delay_s + succession.UNRECORDED_TAKEOVER_AFTER_S
        return delay_s + succession.TAKEOVER_AFTER_S

    def _note_leading(self, group, now):
        """Record since when the target of a group's newest order leads.

        Its failover then lacks only the record.
        """
        seen = self._node.view.get_order(group)
        target_id = seen.order.target if seen is not None else None
        target = self._node.view.targets.get(target_id)
        if target is not None and target.role is desired.Role.PRIMARY:
            self._leading_since.setdefault(group, now)
        else:
            self._leading_since.pop(group, None)

    def _start(self, nursery, group, reason, pending_since=None):
        """Start a failover based on the current leadership record.

        It is abandoned if another VM changes the record first.
        `pending_since` is the clock time since when the record has been
        pending, None if it is not.
        """
        self._running_groups.add(group)
        revision = self._node.view.get_revision(fleet.make_lead_key(group))
        primary = self._node.primary_resolver.find_primary(group)
        nursery.start_soon(
            self._run_failover, group, reason, revision, primary, pending_since
        )

    def _is_holder_registered(self, holder):
        """Return whether the daemon that a `holder` names is registered."""
        vm, _, boot = holder.partition("/")
        member = self._node.view.members.get(vm)
        return member is not None and member.boot == boot

    def _get_start_delay_s(self, group):
        """Return the delay before this VM starts a failover, in seconds.

        It leaves the failover to VMs that rank before, and to VMs that
        know all departures.
        """
        view = self._node.view
        has_all_departures = (
            clock.now() - view.complete_since >= succession.FENCE_TIMEOUT_S
        )
        is_alone = len(view.members) == 1
        departures_delay_s = (
            0.0
            if has_all_departures or is_alone
            else UNKNOWN_DEPARTURES_DELAY_S
        )
        return departures_delay_s + self._get_rank_delay_s(group)

    def _get_rank_delay_s(self, group):
        rank = rendezvous.find_rank(
            group, self._node.view.members, self._node.settings.vm.name
        )
        delay_s = RANK_DELAY_S + self._node.get_longest_round_trip_s()
        return min(MAX_RANK_DELAY_S, rank * delay_s)

    def _find_reason(self, group, now):
        view = self._node.view
        targets = view.list_group(group)
        if not targets:
            return None
        primary = self._node.primary_resolver.find_primary(group)
        if primary is None:
            return Reason("no primary", wait_s=NO_PRIMARY_DELAY_S)
        if not succession.has_successor(targets, primary.id, view.evacuated):
            return None
        if primary.is_draining:
            return Reason("draining", is_leaving=True)
        if primary.domain in view.evacuated:
            return Reason("evacuated", is_leaving=True)
        usage = self._node.get_primary_usage(group)
        if usage.target == primary.id:
            if usage.unanswered_writes >= UNANSWERED_WRITES_LIMIT:
                return Reason("writes get no answer")
            if usage.not_primary_answers >= NOT_PRIMARY_ANSWERS_LIMIT:
                return Reason("says it is not primary")
        if self._is_primary_silent(primary, now):
            return SILENT
        if self._suspicions.is_suspected(group, primary.id, now):
            return SUSPECTED
        return None

    def _is_primary_silent(self, primary, now):
        load = self._node.pools.get(primary.id).load
        return load.get_silent_s(now) >= SILENCE_BEFORE_PROBE_S

    async def _run_failover(
        self, group, reason, expected_revision, primary, pending_since
    ):
        try:
            if reason.needs_probe and await self._probe(primary):
                return
            if await self._record_failover(
                group, reason, expected_revision, primary
            ):
                await replacement.FailoverRun(
                    self._node,
                    self._store,
                    self._promoter,
                    self._view_exchange,
                    group,
                    reason.may_keep_old,
                    pending_since,
                ).run()
        finally:
            self._running_groups.discard(group)
            self._reason_since.pop(group, None)

    async def _probe(self, primary):
        """Return whether a primary answers a status request."""
        connection = control.ControlConnection(
            self._node.dialect,
            primary,
            self._node.distances.get_added_s(primary.domain),
        )
        try:
            status = await connection.inspect(PROBE_TIMEOUT_S)
        finally:
            connection.close()
        if status is None and not connection.is_refused:
            return False
        self._node.pools.get(primary.id).load.note_answer(clock.now())
        return True

    async def _record_failover(
        self, group, reason, expected_revision, primary
    ):
        """Record the failover; return whether this VM runs it."""
        key = fleet.make_lead_key(group)
        known = self._node.view.get_lead(group)
        if not self._has_current_view(clock.now()):
            return False
        old = primary.id if primary else ""
        if known is not None:
            old = known.target
        term = max(
            known.term if known else 0,
            self._node.get_log_positions(group).term,
        )
        lead = fleet.Lead(
            old,
            term,
            self._node.run_id,
            is_pending=True,
            era=self._node.view.era,
            may_keep_target=reason.may_keep_old,
        )
        write = store_port.Write(key, fleet.encode_record(lead))
        try:
            revision = await self._store.commit(
                {key: expected_revision},
                [write],
                self._list_expired_orders(group, known),
            )
        except exceptions.PlatformError as error:
            self._log("lead not marked", group, reason, why=str(error))
            return False
        self._log("lead marked", group, reason, target=old, fence=revision)
        await self._view_exchange.notify_all()
        return await self._wait_until_visible(key, revision)

    def _list_expired_orders(self, group, lead):
        """Return the keys of orders that cannot concern a new failover.

        Those of the failover in progress, if any, are kept: they tell that
        the old primary may have been replaced.
        """
        seen = self._node.view.get_order(group)
        if seen is None or (lead is not None and lead.is_pending):
            return []
        if promotion_orders.find_outstanding(seen, clock.now()) is not None:
            return []
        return [fleet.make_order_key(group)]

    async def _wait_until_visible(self, key, revision):
        """Wait until the view shows a write, for a limited time.

        Returns whether it is the latest write of the key.
        """
        with trio.move_on_after(succession.MAX_HOLDER_VIEW_AGE_S):
            while self._node.view.get_revision(key) < revision:
                await trio.sleep(replacement.POLL_INTERVAL_S)
        return self._node.view.get_revision(key) == revision

    def _log(self, message, group, reason, **fields):
        event = message.replace(" ", "_")
        logger.info(
            message,
            extra={
                "event": event,
                "group": group,
                "reason": reason.text,
                "age_s": round(self._node.view_age.get_age(clock.now()), 3),
                **fields,
            },
        )
