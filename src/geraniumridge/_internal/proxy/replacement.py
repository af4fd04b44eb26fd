"""One replacement of a group's primary, by the VM that holds it."""

import logging

import trio

from geraniumridge._internal.decisions import succession
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import control
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

POLL_S = 0.05
"""Pause between looks at what others do."""

CATCH_UP_S = 2.5
"""How long a replica may take to receive all that a primary has that
is to leave."""

LEAD_TIMEOUT_S = 3.0
"""How long a promoted target may take to lead."""

ROUND_PAUSE_S = 0.2
"""Pause before a replacement that could not be finished goes on."""

GONE_S = 30.0
"""How long a target that is no longer registered is still asked; it
may only have lost the store."""

RESUME_TRIES = 10
"""Tries to resume a replica, or to make a primary step down."""


class Replacement:
    """Carries a pending lead to its end.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Names the next primary.
    news : proxy.news.News
        Tells the other VMs when the lead is settled.
    group : str
        The group.
    may_return : bool
        Whether the old primary may stay if it answers again.
    pending_since : float or None
        Clock time since when the lead has been pending without a break,
        None if this VM has made it so.
    """

    def __init__(
        self,
        node,
        store,
        promoter,
        news,
        group,
        may_return,
        pending_since=None,
    ):
        self._node = node
        self._store = store
        self._promoter = promoter
        self._news = news
        self._group = group
        self._key = fleet.make_lead_key(group)
        self._lead = node.view.get_lead(group)
        self._revision = node.view.get_revision(self._key)
        self._may_return = may_return
        self._pending_since = pending_since
        self._controls = {}

    async def run(self):
        """Go on until the lead is settled or held by another VM."""
        try:
            async with trio.open_nursery() as nursery:
                # Those that are silent take less time later on.
                nursery.start_soon(self._look_around)
                await self._wait_released()
            while self._is_holder():
                if await self._try():
                    return
                await trio.sleep(ROUND_PAUSE_S)
        finally:
            for item in self._controls.values():
                item.close()

    async def _look_around(self):
        self._refresh_controls()
        await control.ask_all(
            self._controls.values(), lambda item: item.inspect()
        )

    def _is_holder(self):
        """Tell whether this VM may still act."""
        if self._is_overtaken():
            return False
        now = clock.now()
        return self._node.freshness.is_within(
            now, succession.MAX_HOLDER_VIEW_AGE_S
        )

    def _is_overtaken(self):
        """Tell whether another VM has changed the lead."""
        return self._node.view.get_revision(self._key) != self._revision

    async def _wait_released(self):
        started = clock.now()
        marked_at = self._pending_since or started
        fence = succession.Fence(self._group, self._revision, marked_at)
        while not fence.is_established(self._node.view, clock.now()):
            if self._is_overtaken():
                return
            await trio.sleep(POLL_S)
        waited_s = round(clock.now() - started, 3)
        silent = fence.list_unacknowledged(self._node.view, clock.now())
        self._log(
            "lead released", waited_s=waited_s, silent=sorted(silent or ())
        )

    async def _try(self):
        """Make one round; tells whether the lead is settled."""
        self._refresh_controls()
        found = await control.ask_all(
            self._controls.values(), lambda item: item.inspect()
        )
        old = found.get(self._lead.target)
        term = _find_term(found.values(), self._lead.term)
        leader = succession.find_promoted_target(self._lead, found)
        if leader is not None:
            return await self._finish(leader, found[leader].term)
        is_leading = old is not None and old.role is desired.Role.PRIMARY
        if is_leading and self._may_return:
            await self._resume_others(self._lead.target)
            return await self._settle(self._lead.target, old.term)
        bound = None
        if is_leading:
            bound = old.received
            await self._wait_catch_up(bound)
        return await self._promote(term, bound)

    async def _promote(self, term, bound):
        registered = self._node.view.targets
        held = await control.ask_all(
            self._list_others(), lambda item: item.hold(term + 1)
        )
        replicas = [
            succession.Replica(item.target, held[item.target.id], eligible)
            for item, eligible in self._list_candidates()
            if held[item.target.id] or item.target.id in registered
        ]
        chosen = succession.choose_successor(replicas, bound)
        self._log(
            "successor chosen" if chosen else "no successor proved",
            target=chosen.target.id if chosen else None,
            bound=bound,
            received={
                item.target.id: item.status and item.status.received
                for item in replicas
            },
        )
        if chosen is None or not self._is_holder():
            await self._resume_others(None)
            return False
        if not await self._order(chosen.target.id):
            await self._resume_others(None)
            return False
        new_term = await self._wait_leading(chosen.target.id, term)
        if new_term is None:
            return False
        return await self._finish(chosen.target.id, new_term)

    async def _order(self, target):
        try:
            await self._promoter.promote(
                self._group,
                target,
                self._node.settings.vm.name,
                self._revision,
            )
        except exceptions.TargetRefusedError as error:
            self._log("promotion refused", target=target, why=str(error))
            return False
        except exceptions.PlatformUnavailableError as error:
            # It may have been done; the next round finds out.
            self._log("promotion in doubt", target=target, why=str(error))
            return True
        self._log("promotion ordered", target=target)
        return True

    async def _wait_leading(self, target, term):
        """Return the new term once the target leads, or None."""
        with trio.move_on_after(LEAD_TIMEOUT_S):
            while True:
                status = await self._controls[target].inspect()
                if status is not None and _leads_after(status, term):
                    return status.term
                await trio.sleep(POLL_S)
        return None

    async def _finish(self, target, term):
        """Settle, then bring the others in line."""
        if not await self._settle(target, term):
            return False
        for _ in range(RESUME_TRIES):
            late = await self._align(target, term)
            if not late:
                break
            await trio.sleep(ROUND_PAUSE_S)
        return True

    async def _align(self, target, term):
        """Return whether some target has not followed yet."""
        answers = await control.ask_all(
            [
                item
                for name, item in self._controls.items()
                if name != target and name in self._node.view.targets
            ],
            lambda item: _bring_in_line(item, term),
        )
        return any(status is None for status in answers.values())

    async def _settle(self, target, term):
        lead = fleet.Lead(target, term, self._node.settings.vm.name, False)
        write = store_port.Write(self._key, fleet.encode_record(lead))
        try:
            await self._store.commit({self._key: self._revision}, [write])
        except exceptions.PlatformError as error:
            self._log("lead not settled", target=target, why=str(error))
            return False
        self._log("lead settled", target=target, term=term)
        await self._news.tell_all()
        return True

    async def _wait_catch_up(self, bound):
        """Wait until an eligible replica has received a position."""
        with trio.move_on_after(CATCH_UP_S):
            while True:
                for item, eligible in self._list_candidates():
                    if not eligible:
                        continue
                    status = await item.inspect()
                    if status is not None and status.received >= bound:
                        return
                await trio.sleep(POLL_S)

    async def _resume_others(self, leader):
        await control.ask_all(
            [item for item in self._list_others() if item.target.id != leader],
            lambda item: item.resume(),
        )

    def _refresh_controls(self):
        view = self._node.view
        gone = view.list_recently_removed(self._group, clock.now(), GONE_S)
        targets = {
            item.id: item for item in [*view.list_group(self._group), *gone]
        }
        for name in list(self._controls.keys() - targets.keys()):
            self._controls.pop(name).close()
        for name, target in targets.items():
            if name not in self._controls:
                self._controls[name] = control.Control(
                    self._node.dialect, target
                )

    def _list_others(self):
        return [
            item
            for name, item in self._controls.items()
            if name != self._lead.target
        ]

    def _list_candidates(self):
        """Return pairs of control and whether it may be promoted."""
        view = self._node.view
        pairs = []
        for item in self._list_others():
            target = view.targets.get(item.target.id)
            is_eligible = (
                target is not None
                and not target.is_draining
                and target.domain not in view.evacuated
            )
            pairs.append((item, is_eligible))
        return pairs

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


def _find_term(statuses, known):
    """Return the newest term that any target has seen."""
    terms = [known]
    for status in statuses:
        if status is not None:
            terms.append(status.term)
            terms.append(status.held_term)
    return max(terms)


def _leads_after(status, term):
    is_primary = status.role is desired.Role.PRIMARY
    return is_primary and status.term > term


async def _bring_in_line(item, term):
    """Let a replica receive, or a former primary become one."""
    status = await item.inspect()
    if status is None:
        return None
    if status.role is desired.Role.PRIMARY:
        return await item.step_down(term)
    if status.held_term:
        return await item.resume()
    return status
