"""Check the primaries of groups, and fail over from those that failed.

A failover, the whole change of a primary, also runs if operators want
another target; the promotion is the step in which that target becomes
primary. Each domain has one observer of a group: the VM that owns the
placement ``observer/GROUP``. The observers of enough domains must agree
that a primary has failed.
"""

import contextlib
import logging
import secrets

import trio

from geraniumridge._internal.decisions import promotion
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.models import records
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
"""Bounds one call to a gateway, an observer or another VM."""

FAILOVER_POLL_INTERVAL_S = 0.2
"""Delay between rounds of calls during a failover."""

PENDING_TERM_TIMEOUT_S = 8.0
"""Age at which an observer takes over a pending term, its own included.

The age counts from when this observer first saw the pending term. An
attempt may still run then, since `FAILOVER_TIMEOUT_S` is longer. The
takeover records a higher pending term, so the compare-and-swap with which
the earlier attempt would complete fails.
"""

FAILOVER_TIMEOUT_S = 30.0
"""Bounds one attempt of a failover.

An attempt that is cut off leaves a pending term, which is taken over
once it is older than `PENDING_TERM_TIMEOUT_S`.
"""

MAJORITY_DIVISOR = 2
"""The initial primary of a group is recorded only once a majority of its
targets has answered: more than their number divided by this."""

PLANNED_FAILOVER_REASON = "primary is to move"
"""Reason, in the log, of a failover that operators want.

It also makes the failover a planned one: the old primary is demoted only
once a replica has caught up with it.
"""


@registry.PLUGINS.register("failover")
class Failover(kernel.Plugin):
    """Failure detection and failover of the groups this VM observes."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._detectors = {}
        self._pending_since = {}
        self._groups_failing_over = set()

    async def start(self, nursery):
        """Register the message handler and start the checks."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._promises = self._kernel.get("promises")
        self._terms = self._kernel.get("terms")
        self._peers.handle(wire.messages.Suspicion, self._answer_suspicion)
        nursery.start_soon(self._check_groups)

    async def run_control_action(self, group, target, action, term=0):
        """Run a control action on a target through its gateway."""
        message = wire.messages.Promote(
            group=group, target=target, action=action, term=term
        )
        return await self._membership.call_gateway(message, CALL_TIMEOUT_S)

    async def _try_control_action(self, group, target, action, term=0):
        """Run a control action; return its status, None if it fails."""
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            return await self.run_control_action(group, target, action, term)
        return None

    async def _try_call(self, member, message):
        """Call a VM; return its answer, None if the call fails."""
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            return await self._peers.call(
                member.address, message, CALL_TIMEOUT_S
            )
        return None

    def _get_group(self, group):
        return self._configuration.document.groups[group]

    async def _check_groups(self):
        interval_s = self._settings.authority.probe_every_s
        while True:
            async with trio.open_nursery() as nursery:
                for group in list(self._configuration.document.groups):
                    if self._membership.owns(f"observer/{group}"):
                        nursery.start_soon(self._check_group, group)
            await trio.sleep(interval_s)

    async def _check_group(self, group):
        try:
            await self._check_primary(group)
        except exceptions.GeraniumridgeError as error:
            logger.debug(
                "check of the primary failed; will retry",
                extra={"group": group, "reason": str(error)},
            )

    async def _check_primary(self, group):
        """Check a group's primary and start a failover if needed."""
        group_term = self._terms.evidence.get_group(group)
        if group_term is None:
            await self._record_initial_primary(group)
            return
        if group_term.primary not in self._get_group(group).targets:
            return
        detector = await self._probe_primary(group, group_term)
        if group in self._groups_failing_over:
            return
        now = trio.current_time()
        if group_term.pending is not None:
            self._take_over_stale_failover(group, group_term, now)
            return
        self._pending_since.pop(group, None)
        has_primary_failed = detector.has_failed(now, group_term.term)
        if has_primary_failed and await self._is_failure_confirmed(
            group, group_term
        ):
            self._start_failover(group, group_term, "primary is gone")
        elif not has_primary_failed and self._is_planned_failover_wanted(
            group, group_term
        ):
            if await self._is_planned_failover_possible(group, group_term):
                self._start_failover(
                    group, group_term, PLANNED_FAILOVER_REASON
                )

    async def _record_initial_primary(self, group):
        """Record the primary of a group that is not in the terms record."""
        best = None
        targets = self._get_group(group).targets
        answers = 0
        for target in targets:
            status = await self._try_control_action(group, target, "status")
            if status is None:
                continue
            answers += 1
            if status.is_primary and (not best or status.term > best[0]):
                best = (status.term, target)
        # A minority of the targets may know a former primary only.
        if best is not None and answers * MAJORITY_DIVISOR > len(targets):
            group_term = records.GroupTerm(*best)
            await self._terms.compare_and_swap(group, None, group_term)

    async def _probe_primary(self, group, group_term):
        """Probe the primary through its gateway and return its detector."""
        settings = self._settings.authority
        detector = self._detectors.get(group)
        if detector is None:
            detector = promotion.PrimaryFailureDetector(
                settings.suspect_gateway_s, settings.suspect_domain_s
            )
            self._detectors[group] = detector
        target_entry = self._get_group(group).targets[group_term.primary]
        name = config.make_target_name(group, group_term.primary)
        gateway = self._membership.find_gateway(
            target_entry.domain, group, group_term.primary
        )
        answer = gateway and await self._probe_targets(gateway, [name])
        if answer:
            observation = promotion.PrimaryObservation(
                True, True, bool(answer.down)
            )
        else:
            is_domain_reachable = await self._is_domain_reachable(
                target_entry.domain, gateway
            )
            observation = promotion.PrimaryObservation(
                False, is_domain_reachable
            )
        identity = (group_term.term, group_term.primary)
        detector.note_observation(trio.current_time(), identity, observation)
        return detector

    async def _probe_targets(self, member, names):
        """Return a VM's answer to a probe of some targets, or None."""
        message = wire.messages.Probe(targets=names)
        return await self._try_call(member, message)

    async def _is_domain_reachable(self, domain, gateway):
        """Return whether any VM of a domain but the gateway answers."""
        view = self._membership.find_view(domain)
        for member in view.members if view else ():
            if member != gateway and await self._probe_targets(member, []):
                return True
        return False

    async def _answer_suspicion(self, message):
        """Answer whether this VM, too, finds that the primary has failed."""
        detector = self._detectors.get(message.group)
        has_primary_failed = detector is not None and detector.has_failed(
            trio.current_time(), message.term
        )
        return wire.messages.SuspicionAnswer(agreed=has_primary_failed)

    async def _is_failure_confirmed(self, group, group_term):
        """Return whether enough domains agree that the primary has failed."""
        domains = list(self._configuration.document.domains)
        agreeing_domains = []
        async with trio.open_nursery() as nursery:
            for domain in domains:
                if domain != self._settings.vm.domain:
                    nursery.start_soon(
                        self._ask_observer,
                        domain,
                        group,
                        group_term,
                        agreeing_domains,
                    )
        return 1 + len(agreeing_domains) >= promotion.get_required_observers(
            len(domains)
        )

    async def _ask_observer(self, domain, group, group_term, agreeing_domains):
        owner = self._membership.find_owner(domain, f"observer/{group}")
        if owner is None:
            return
        message = wire.messages.Suspicion(group=group, term=group_term.term)
        answer = await self._try_call(owner, message)
        if answer is not None and answer.agreed:
            agreeing_domains.append(domain)

    def _list_targets_in_service(self, group):
        document = self._configuration.document
        return frozenset(
            name
            for name, target_entry in document.groups[group].targets.items()
            if target_entry.in_service
            and target_entry.domain in document.domains
            and document.domains[target_entry.domain].in_service
        )

    def _is_planned_failover_wanted(self, group, group_term):
        """Return whether operators want another primary."""
        in_service = self._list_targets_in_service(group)
        preferred = self._get_group(group).primary
        if group_term.primary not in in_service:
            return bool(in_service)
        return preferred in in_service and preferred != group_term.primary

    async def _is_planned_failover_possible(self, group, group_term):
        """Return whether a wanted target answers with the primary's term."""
        old_status = await self.run_control_action(
            group, group_term.primary, "status"
        )
        in_service = self._list_targets_in_service(group)
        preferred = self._get_group(group).primary
        wanted = {preferred} & in_service or in_service
        for target in wanted - {group_term.primary}:
            status = await self._try_control_action(group, target, "status")
            if status is not None and status.term == old_status.term:
                return True
        return False

    def _take_over_stale_failover(self, group, group_term, now):
        """Take over a failover whose term has been pending for too long."""
        noted_pending, noted_at = self._pending_since.get(group, (None, now))
        if noted_pending != group_term.pending:
            self._pending_since[group] = (group_term.pending, now)
        elif now - noted_at > PENDING_TERM_TIMEOUT_S:
            del self._pending_since[group]
            self._start_failover(group, group_term, "initiator is gone")

    def _start_failover(self, group, group_term, reason):
        self._groups_failing_over.add(group)
        self._nursery.start_soon(self._run_failover, group, group_term, reason)

    async def _run_failover(self, group, group_term, reason):
        try:
            with trio.move_on_after(FAILOVER_TIMEOUT_S):
                await self._fail_over(group, group_term, reason)
        except exceptions.GeraniumridgeError as error:
            logger.warning(
                "failover failed; later checks may retry",
                extra={
                    "event": "promotion_failed",
                    "group": group,
                    "reason": str(error),
                },
            )
        finally:
            self._groups_failing_over.discard(group)

    async def _fail_over(self, group, group_term, reason):
        """Run the failover of a group.

        Record the pending term, wait until no acknowledgement of the
        old term can be sent, promote a target and record the new term.
        """
        last_term = (
            group_term.pending.term if group_term.pending else group_term.term
        )
        pending = records.PendingTerm(
            last_term + 1, self._settings.vm.name, secrets.token_hex(8)
        )
        pending_group_term = group_term._replace(pending=pending)
        await self._terms.compare_and_swap_with_retry(
            group, group_term, pending_group_term
        )
        logger.info(
            "failover begins",
            extra={
                "event": "promotion_begins",
                "group": group,
                "term": pending.term,
                "reason": reason,
            },
        )
        decision = promotion.FailoverDecision(
            self._make_plan(
                group, group_term, pending, reason == PLANNED_FAILOVER_REASON
            ),
            trio.current_time(),
        )
        target = await self._choose_target(group, decision)
        position = await self._promote_target(group, target, pending)
        new_term = promotion.make_group_term(
            group_term, pending, target, position
        )
        await self._terms.compare_and_swap_with_retry(
            group, pending_group_term, new_term
        )
        logger.info(
            "failover is complete; the new term is in force",
            extra={
                "event": "promotion_in_force",
                "group": group,
                "term": pending.term,
                "target": target,
            },
        )

    def _make_plan(self, group, group_term, pending, planned):
        group_entry = self._get_group(group)
        replicas = {
            name: target_entry.domain
            for name, target_entry in group_entry.targets.items()
            if name != group_term.primary
        }
        return promotion.FailoverPlan(
            group,
            group_term.primary,
            pending.term,
            replicas,
            group_entry.list_acknowledging_replicas(group_term.primary),
            self._list_targets_in_service(group),
            group_entry.primary,
            len(self._configuration.document.domains),
            self._settings.authority.evidence_ttl_s,
            planned,
        )

    async def _choose_target(self, group, decision):
        """Ask domains and targets repeatedly until a target is chosen."""
        while True:
            async with trio.open_nursery() as nursery:
                for domain in self._configuration.document.domains:
                    nursery.start_soon(
                        self._close_group_in_domain, domain, decision
                    )
                for target in self._get_group(group).targets:
                    nursery.start_soon(self._query_status, target, decision)
            if decision.may_demote():
                await self._demote_primary(decision)
            target = decision.choose_target(trio.current_time())
            if target is not None:
                return target
            await trio.sleep(FAILOVER_POLL_INTERVAL_S)

    async def _close_group_in_domain(self, domain, decision):
        plan = decision.plan
        with contextlib.suppress(
            exceptions.NetworkError, exceptions.RequestError
        ):
            remaining_s = await self._promises.request_close(
                domain, plan.group, plan.term
            )
            decision.note_closed(domain, trio.current_time(), remaining_s)

    async def _demote_primary(self, decision):
        plan = decision.plan
        status = await self._try_control_action(
            plan.group, plan.old_primary, "demote", plan.term
        )
        if status is not None and not status.is_primary:
            log_position = records.LogPosition(status.term, status.position)
            decision.note_demoted(trio.current_time(), log_position)

    async def _query_status(self, target, decision):
        status = await self._try_control_action(
            decision.plan.group, target, "status"
        )
        if status is not None:
            log_position = records.LogPosition(status.term, status.position)
            decision.note_status(target, log_position)

    async def _promote_target(self, group, target, pending):
        """Promote a target and return its log position.

        A failed call may have promoted the target all the same, so its
        status is read before the next attempt.
        """
        while True:
            status = await self._try_control_action(
                group, target, "promote", pending.term
            )
            if status is not None:
                return status.position
            await trio.sleep(FAILOVER_POLL_INTERVAL_S)
            status = await self._try_control_action(group, target, "status")
            if (
                status is not None
                and status.is_primary
                and status.term == pending.term
            ):
                return status.position
