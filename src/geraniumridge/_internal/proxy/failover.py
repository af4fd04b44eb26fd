"""Decides when a group's primary is to be replaced, and starts it."""

import logging
import typing

import trio

from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import control
from geraniumridge._internal.proxy import replacement
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous
from geraniumridge._internal.utils import rounds

logger = logging.getLogger(__name__)

SUSPECT_S = 0.3
"""How long a primary is silent before it is asked for its status; few
statements take as long."""

PROOF_S = 0.3
"""How long it may take to answer; a new connection and a few ways
across regions fit in."""

MISSING_S = 2.0
"""How long a group may be without a primary; entries that lapsed are
back by then."""

STUCK_WRITES = 3
"""Writes without an answer after which a primary that answers counts
as cut off from its replicas."""

REFUSALS = 3
"""Answers that a target is not primary, after which it is replaced."""

STAGGER_S = 0.05
"""Head start of each VM before the next in a group's order; a write to
the store and its way to the others fit in."""

MAX_STAGGER_S = 1.0
"""Longest such delay."""

GAP_DELAY_S = 1.0
"""Further delay of a VM that may have missed departures, which would
have to wait longer for silent VMs."""

SETTLE_S = 2.5
"""How long a VM looks on after its first listing of the store; entries
that lapsed in an outage are back by then."""

START_AGE_S = 1.0
"""Knowledge this old lets no replacement begin: the VM itself may be cut
off, and a write whose answer is lost may still be done much later."""

GROUPS_AT_ONCE = 120
"""Groups looked at in one check, so that a fleet with thousands spends
little on it; each of 1,200 is looked at every second."""

PAUSE_S = 3.0
"""Least time between two replacements of one group."""


class Reason(typing.NamedTuple):
    """Why a primary is replaced.

    `may_return` tells that the old one may stay if it answers again,
    `needs_proof` that it has to be asked first. `wait_s` is how long
    the reason must have held, in seconds.
    """

    text: str
    may_return: bool = False
    needs_proof: bool = False
    wait_s: float = 0.0


class Failover:
    """Watches the primaries of all groups.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Names the next primary.
    news : proxy.news.News
        Tells the other VMs of new leads.
    """

    def __init__(self, node, store, promoter, news):
        self._node = node
        self._store = store
        self._promoter = promoter
        self._news = news
        self._rounds = rounds.RoundRobin(GROUPS_AT_ONCE)
        self._active = set()
        self._noticed = {}
        self._pending = {}
        self._settled_at = {}

    def check(self, nursery):
        """Start what is due; called often."""
        state = self._node.view.state
        now = clock.now()
        if state is None:
            return
        may_act = self._may_act(now)
        for group in self._rounds.take_batch(list(state.groups)):
            self._note_pending(group, now)
            if may_act and group not in self._active:
                self._check_group(nursery, group, now)

    def _may_act(self, now):
        since = self._node.view.complete_since
        if since is None or now - since < SETTLE_S:
            return False
        return self._is_fresh(now) and self._node.primacy.is_self_registered()

    def _is_fresh(self, now):
        return self._node.freshness.is_within(now, START_AGE_S)

    def _check_group(self, nursery, group, now):
        lead = self._node.view.get_lead(group)
        if lead is not None and lead.is_pending:
            self._settled_at[group] = now
            self._noticed.pop(group, None)
            self._check_pending(nursery, group, lead, now)
            return
        reason = self._find_reason(group, now)
        if reason is None:
            self._noticed.pop(group, None)
            return
        since = self._noticed.setdefault(group, now)
        if now - self._settled_at.get(group, now - PAUSE_S) < PAUSE_S:
            return
        if now - since >= max(reason.wait_s, self._get_delay_s(group)):
            self._start(nursery, group, reason)

    def _note_pending(self, group, now):
        """Note since when a group's lead has been pending unchanged."""
        lead = self._node.view.get_lead(group)
        if lead is None or not lead.is_pending:
            self._pending.pop(group, None)
            return
        key = fleet.make_lead_key(group)
        revision = self._node.view.get_revision(key)
        known, _ = self._pending.get(group, (None, now))
        if known != revision:
            self._pending[group] = (revision, now)

    def _check_pending(self, nursery, group, lead, now):
        """Go on with a pending lead that is ours or was abandoned."""
        _, since = self._pending[group]
        if now - since >= self._get_takeover_s(group, lead):
            reason = Reason("taken over", may_return=True)
            self._start(nursery, group, reason, since)

    def _get_takeover_s(self, group, lead):
        """Return how long a pending lead is left to its holder."""
        if lead.holder == self._name_holder():
            # Its write was done though no answer came.
            return 0.0
        delay_s = self._get_stagger_s(group)
        if self._is_alive(lead.holder):
            return delay_s + succession.TAKEOVER_AFTER_S
        return delay_s

    def _name_holder(self):
        return f"{self._node.settings.vm.name}/{self._node.boot}"

    def _start(self, nursery, group, reason, pending_since=None):
        """Start a replacement, decided on the lead as it is now.

        Whoever changes the lead from here on goes before it.
        `pending_since` is the clock time since when it has been pending.
        """
        self._active.add(group)
        revision = self._node.view.get_revision(fleet.make_lead_key(group))
        primary = self._node.primacy.find_primary(group)
        nursery.start_soon(
            self._replace, group, reason, revision, primary, pending_since
        )

    def _is_alive(self, holder):
        """Tell whether the run that holds a lead is still registered."""
        vm, _, boot = holder.partition("/")
        member = self._node.view.members.get(vm)
        return member is not None and member.boot == boot

    def _get_delay_s(self, group):
        """Return how long a reason is left to better placed VMs."""
        view = self._node.view
        is_whole = (
            clock.now() - view.complete_since >= succession.FENCE_TIMEOUT_S
        )
        is_alone = len(view.members) == 1
        gap_s = 0.0 if is_whole or is_alone else GAP_DELAY_S
        return gap_s + self._get_stagger_s(group)

    def _get_stagger_s(self, group):
        ranked = rendezvous.rank_nodes(group, self._node.view.members)
        rank = ranked.index(self._node.settings.vm.name)
        return min(MAX_STAGGER_S, rank * STAGGER_S)

    def _find_reason(self, group, now):
        view = self._node.view
        members = view.list_group(group)
        if not members:
            return None
        primary = self._node.primacy.find_primary(group)
        if primary is None:
            return Reason("no primary", wait_s=MISSING_S)
        if not self._has_successor(members, primary):
            return None
        if primary.is_draining:
            return Reason("draining")
        if primary.domain in view.evacuated:
            return Reason("evacuated")
        guard = self._node.get_guard(group)
        if guard.target == primary.id:
            if guard.stuck_writes >= STUCK_WRITES:
                return Reason("writes get no answer")
            if guard.refused >= REFUSALS:
                return Reason("says it is not primary")
        if self._is_suspect(primary, now):
            return Reason("silent", may_return=True, needs_proof=True)
        return None

    def _has_successor(self, members, primary):
        return any(
            target.id != primary.id
            and not target.is_draining
            and target.domain not in self._node.view.evacuated
            for target in members
        )

    def _is_suspect(self, primary, now):
        load = self._node.pools.get(primary.id).load
        return load.get_silent_s(now) >= SUSPECT_S

    async def _replace(
        self, group, reason, decided_on, primary, pending_since
    ):
        try:
            if reason.needs_proof and await self._answers(primary):
                return
            if await self._mark(group, reason, decided_on, primary):
                await replacement.Replacement(
                    self._node,
                    self._store,
                    self._promoter,
                    self._news,
                    group,
                    reason.may_return,
                    pending_since,
                ).run()
        finally:
            self._active.discard(group)
            self._noticed.pop(group, None)

    async def _answers(self, primary):
        """Tell whether a primary answers after all."""
        asked = control.Control(self._node.dialect, primary)
        try:
            status = await asked.inspect(PROOF_S)
        finally:
            asked.close()
        if status is None and not asked.is_refused:
            return False
        self._node.pools.get(primary.id).load.note_answer(clock.now())
        return True

    async def _mark(self, group, reason, decided_on, primary):
        """Write the pending lead; tells whether this VM holds it."""
        key = fleet.make_lead_key(group)
        known = self._node.view.get_lead(group)
        if not self._is_fresh(clock.now()):
            return False
        old = primary.id if primary else ""
        if known is not None:
            old = known.target
        term = max(
            known.term if known else 0, self._node.get_marks(group).term
        )
        lead = fleet.Lead(old, term, self._name_holder(), True)
        write = store_port.Write(key, fleet.encode_record(lead))
        try:
            revision = await self._store.commit({key: decided_on}, [write])
        except exceptions.PlatformError as error:
            self._log("lead not marked", group, reason, why=str(error))
            return False
        self._log("lead marked", group, reason, target=old, fence=revision)
        await self._news.tell_all()
        return await self._is_shown(key, revision)

    async def _is_shown(self, key, revision):
        """Wait until the view shows the own mark, and no later one."""
        with trio.move_on_after(succession.MAX_HOLDER_VIEW_AGE_S):
            while self._node.view.get_revision(key) < revision:
                await trio.sleep(replacement.POLL_S)
        return self._node.view.get_revision(key) == revision

    def _log(self, message, group, reason, **fields):
        event = message.replace(" ", "_")
        logger.info(
            message,
            extra={
                "event": event,
                "group": group,
                "reason": reason.text,
                "age_s": round(self._node.freshness.get_age(clock.now()), 3),
                **fields,
            },
        )
