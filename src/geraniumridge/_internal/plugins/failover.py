"""Observes primaries and replaces those that are gone or leaving."""

import contextlib
import logging
import secrets

import trio

from geraniumridge._internal.decisions import promotion
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
STEP_S = 0.2
STALE_PENDING_S = 8.0
GIVE_UP_S = 30.0
ADOPT_SHARE = 2
PLANNED = "primary is to move"


@registry.PLUGINS.register("failover")
class Failover(kernel.Plugin):
    """Watches the groups whose observer in this domain this VM is."""

    def __init__(self, owner):
        super().__init__(owner)
        self._watches = {}
        self._pending_since = {}
        self._promoting = set()

    async def start(self, nursery):
        """Start observing."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._promises = self._kernel.get("promises")
        self._terms = self._kernel.get("terms")
        self._peers.handle(wire.messages.Suspicion, self._answer_suspicion)
        nursery.start_soon(self._run)

    async def control(self, group, target, action, term=0):
        """Run a control action on a target through its gateway."""
        entry = self._get_group(group).targets[target]
        name = f"{group}/{target}"
        owner = self._membership.find_owner(entry.domain, name)
        if owner is None:
            raise exceptions.UnavailableError(f"no gateway of {name}")
        message = wire.messages.Promote(
            group=group, target=target, action=action, term=term
        )
        return await self._peers.call(owner.address, message, CALL_TIMEOUT_S)

    def _get_group(self, group):
        return self._configuration.document.groups[group]

    async def _run(self):
        pause_s = self._settings.authority.probe_every_s
        while True:
            async with trio.open_nursery() as nursery:
                for group in list(self._configuration.document.groups):
                    if self._membership.owns(f"observer/{group}"):
                        nursery.start_soon(self._check_safely, group)
            await trio.sleep(pause_s)

    async def _check_safely(self, group):
        try:
            await self._check(group)
        except exceptions.GeraniumridgeError as error:
            logger.debug(
                "observation failed",
                extra={"group": group, "reason": str(error)},
            )

    async def _check(self, group):
        known = self._terms.authority.get_group(group)
        if known is None:
            await self._adopt(group)
            return
        if known.primary not in self._get_group(group).targets:
            return
        watch = await self._observe(group, known)
        if group in self._promoting:
            return
        now = trio.current_time()
        if known.pending is not None:
            self._take_over_stale(group, known, now)
            return
        self._pending_since.pop(group, None)
        gone = watch.has_failed(now, known.term)
        if gone and await self._is_agreed(group, known):
            self._start(group, known, "primary is gone")
        elif not gone and self._should_move(group, known):
            if await self._can_move(group, known):
                self._start(group, known, PLANNED)

    async def _adopt(self, group):
        """Record the primary of a group that has no term yet."""
        best = None
        targets = self._get_group(group).targets
        answers = 0
        for target in targets:
            with contextlib.suppress(
                exceptions.NetworkError, exceptions.RequestError
            ):
                status = await self.control(group, target, "status")
                answers += 1
                if status.is_primary and (not best or status.term > best[0]):
                    best = (status.term, target)
        # A minority could know only a former primary.
        if best is not None and answers * ADOPT_SHARE > len(targets):
            term = records.GroupTerm(*best)
            await self._terms.update(group, None, term)

    async def _observe(self, group, known):
        """Ask the primary's gateway how its target is."""
        settings = self._settings.authority
        watch = self._watches.get(group)
        if watch is None:
            watch = promotion.PrimaryFailureDetector(
                settings.suspect_gateway_s, settings.suspect_domain_s
            )
            self._watches[group] = watch
        entry = self._get_group(group).targets[known.primary]
        name = f"{group}/{known.primary}"
        owner = self._membership.find_owner(entry.domain, name)
        answer = owner and await self._probe(owner, [name])
        if answer:
            sight = promotion.PrimaryObservation(True, True, bool(answer.down))
        else:
            reached = await self._reach_domain(entry.domain, owner)
            sight = promotion.PrimaryObservation(False, reached)
        identity = (known.term, known.primary)
        watch.note_observation(trio.current_time(), identity, sight)
        return watch

    async def _probe(self, member, names):
        """Return a VM's answer about some targets, None without."""
        message = wire.messages.Probe(targets=names)
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            return await self._peers.call(
                member.address, message, CALL_TIMEOUT_S
            )
        return None

    async def _reach_domain(self, domain, owner):
        """Tell whether any other VM of a domain answers."""
        view = self._membership.find_view(domain)
        for member in view.members if view else ():
            if member != owner and await self._probe(member, []):
                return True
        return False

    async def _answer_suspicion(self, message):
        watch = self._watches.get(message.group)
        agreed = watch is not None and watch.has_failed(
            trio.current_time(), message.term
        )
        return wire.messages.SuspicionAnswer(agreed=agreed)

    async def _is_agreed(self, group, known):
        """Ask the observers of other domains whether they agree."""
        domains = list(self._configuration.document.domains)
        agreed = []
        async with trio.open_nursery() as nursery:
            for domain in domains:
                if domain != self._settings.vm.domain:
                    nursery.start_soon(
                        self._ask_agreement, domain, group, known, agreed
                    )
        return 1 + len(agreed) >= promotion.get_required_observers(
            len(domains)
        )

    async def _ask_agreement(self, domain, group, known, agreed):
        owner = self._membership.find_owner(domain, f"observer/{group}")
        if owner is None:
            return
        message = wire.messages.Suspicion(group=group, term=known.term)
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            answer = await self._peers.call(
                owner.address, message, CALL_TIMEOUT_S
            )
            if answer.agreed:
                agreed.append(domain)

    def _list_in_service(self, group):
        document = self._configuration.document
        return frozenset(
            name
            for name, entry in document.groups[group].targets.items()
            if entry.in_service
            and entry.domain in document.domains
            and document.domains[entry.domain].in_service
        )

    def _should_move(self, group, known):
        """Tell whether operators want the primary elsewhere."""
        in_service = self._list_in_service(group)
        preferred = self._get_group(group).primary
        if known.primary not in in_service:
            return bool(in_service)
        return preferred in in_service and preferred != known.primary

    async def _can_move(self, group, known):
        """Tell whether a target to move to answers and is close."""
        old = await self.control(group, known.primary, "status")
        in_service = self._list_in_service(group)
        preferred = self._get_group(group).primary
        wanted = {preferred} & in_service or in_service
        for target in wanted - {known.primary}:
            with contextlib.suppress(
                exceptions.NetworkError, exceptions.RequestError
            ):
                status = await self.control(group, target, "status")
                if status.term == old.term:
                    return True
        return False

    def _take_over_stale(self, group, known, now):
        """Go on with a change whose initiator seems to have died."""
        identity, since = self._pending_since.get(group, (None, now))
        if identity != known.pending:
            self._pending_since[group] = (known.pending, now)
        elif now - since > STALE_PENDING_S:
            del self._pending_since[group]
            self._start(group, known, "initiator is gone")

    def _start(self, group, known, reason):
        self._promoting.add(group)
        self._nursery.start_soon(self._promote_safely, group, known, reason)

    async def _promote_safely(self, group, known, reason):
        try:
            with trio.move_on_after(GIVE_UP_S):
                await self._promote(group, known, reason)
        except exceptions.GeraniumridgeError as error:
            logger.warning(
                "change of primary ended early",
                extra={
                    "event": "promotion_failed",
                    "group": group,
                    "reason": str(error),
                },
            )
        finally:
            self._promoting.discard(group)

    async def _promote(self, group, known, reason):
        """Record the pending term, fence the old one, promote, record."""
        after = known.pending.term if known.pending else known.term
        pending = records.PendingTerm(
            after + 1, self._settings.vm.name, secrets.token_hex(8)
        )
        recorded = known._replace(pending=pending)
        await self._terms.settle(group, known, recorded)
        logger.info(
            "change of primary begins",
            extra={
                "event": "promotion_begins",
                "group": group,
                "term": pending.term,
                "reason": reason,
            },
        )
        change = promotion.Promotion(
            self._make_plan(group, known, pending, reason == PLANNED),
            trio.current_time(),
        )
        target = await self._gather(group, change)
        position = await self._promote_target(group, target, pending)
        term = promotion.make_group_term(known, pending, target, position)
        await self._terms.settle(group, recorded, term)
        logger.info(
            "change of primary is in force",
            extra={
                "event": "promotion_in_force",
                "group": group,
                "term": pending.term,
                "target": target,
            },
        )

    def _make_plan(self, group, known, pending, planned):
        entry = self._get_group(group)
        replicas = {
            name: item.domain
            for name, item in entry.targets.items()
            if name != known.primary
        }
        return promotion.Plan(
            group,
            known.primary,
            pending.term,
            replicas,
            entry.list_acknowledging_replicas(known.primary),
            self._list_in_service(group),
            entry.primary,
            len(self._configuration.document.domains),
            self._settings.authority.evidence_ttl_s,
            planned,
        )

    async def _gather(self, group, change):
        """Gather closings and places in the log until one is chosen."""
        while True:
            async with trio.open_nursery() as nursery:
                for domain in self._configuration.document.domains:
                    nursery.start_soon(self._close, domain, change)
                for target in self._get_group(group).targets:
                    nursery.start_soon(self._ask_status, target, change)
            if change.may_demote():
                await self._demote(change)
            target = change.choose_target(trio.current_time())
            if target is not None:
                return target
            await trio.sleep(STEP_S)

    async def _close(self, domain, change):
        plan = change.plan
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            remaining_s = await self._promises.close(
                domain, plan.group, plan.term
            )
            change.note_closed(domain, trio.current_time(), remaining_s)

    async def _demote(self, change):
        plan = change.plan
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            status = await self.control(
                plan.group, plan.old_primary, "demote", plan.term
            )
            if not status.is_primary:
                mark = records.LogPosition(status.term, status.position)
                change.note_demoted(trio.current_time(), mark)

    async def _ask_status(self, target, change):
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            status = await self.control(change.plan.group, target, "status")
            mark = records.LogPosition(status.term, status.position)
            change.note_status(target, mark)

    async def _promote_target(self, group, target, pending):
        """Promote a target; a lost answer is settled by its status."""
        while True:
            try:
                status = await self.control(
                    group, target, "promote", pending.term
                )
            except (exceptions.NetworkError, exceptions.RequestError):
                await trio.sleep(STEP_S)
                with contextlib.suppress(
                    exceptions.NetworkError, exceptions.RequestError
                ):
                    status = await self.control(group, target, "status")
                    if status.is_primary and status.term == pending.term:
                        return status.position
                continue
            return status.position
