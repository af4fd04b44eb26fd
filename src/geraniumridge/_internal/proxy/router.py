"""Choice of the target of a statement, and retries at other targets."""

import math
import random

from geraniumridge._internal.decisions.placement import choice
from geraniumridge._internal.decisions.placement import eligibility
from geraniumridge._internal.decisions.placement import penalties
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.utils import clock

TRANSIT_MARGIN_S = 0.1
"""Subtracted from the route's staleness bound for the time that a read
takes to reach its target."""


class Router:
    """Router of statements to targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node
        self._random = random.Random()

    async def try_targets(self, context, is_read, budget, run_attempt):
        """Try targets until one gives a final answer or the budget ends.

        Parameters
        ----------
        context : attempt.StatementContext
            The statement.
        is_read : bool
            Whether it is a read, which a replica may serve.
        budget : attempt_budget.AttemptBudget
            Limits the attempts.
        run_attempt : callable
            Async function of context, destination and budget; returns
            the answer, or None to try again. After a `NotSentError`
            and an outcome in `NOT_EXECUTED` the statement is tried again
            too.

        Returns
        -------
        statements.Answer
            The final answer, or the refusal when the budget is used up.
        """
        if is_read:
            await self._fetch_position(context)
        while budget.may_continue():
            destination = self.choose_destination(
                context, is_read, budget.excluded
            )
            if destination is None:
                await budget.wait_before_retry()
                continue
            domain = destination.target.domain
            if not budget.may_reach(self._node.distances.get_least_s(domain)):
                budget.note_not_sent(
                    destination.target.id, "no time left for the round trip"
                )
                continue
            try:
                answer = await run_attempt(context, destination, budget)
            except exceptions.NotSentError as error:
                budget.note_not_sent(destination.target.id, str(error))
                continue
            if answer is None:
                continue
            if answer.outcome not in statements.NOT_EXECUTED:
                return answer
            budget.note_refused(destination.target.id, answer)
        return budget.make_final_answer()

    def choose_destination(self, context, is_read, excluded):
        """Return the `attempt.Destination` of the best target, or None.

        Parameters
        ----------
        context : attempt.StatementContext
            The statement.
        is_read : bool
            Whether it is a read, which a replica may serve.
        excluded : collection of str
            Ids of targets that refused or failed the last attempts.
        """
        route = context.route
        if is_read and route.consistency is not desired.Consistency.PRIMARY:
            found = self._choose_for_read(context, excluded)
            if found is not None:
                return found
        return self._choose_primary(context, excluded)

    def _choose_primary(self, context, excluded):
        route = context.route
        now = clock.now()
        target = self._node.primary_resolver.find_usable_primary(
            route.group, now
        )
        if target is None or target.id in excluded:
            return None
        draining_s = self._node.view.get_draining_s(target.id, now)
        if draining_s > self._node.max_draining_s:
            # It should have been replaced by now.
            return None
        if self._node.pools.get(target.id).load.is_overloaded(now):
            return None
        if not self._is_allowed(context, target):
            return None
        if not self._take_warmup_token(target, now):
            return None
        return attempt.Destination(target, None, True)

    def _choose_for_read(self, context, excluded):
        min_position = self._find_min_position(context)
        if min_position is None:
            return None
        now = clock.now()
        primary = self._node.primary_resolver.find_usable_primary(
            context.route.group, now
        )
        candidates = [
            target
            for target in self._node.view.list_group(context.route.group)
            if target.id not in excluded
            and not target.is_draining
            and self._is_allowed(context, target)
            and self._node.pools.get(target.id).load.is_available(now)
        ]
        best = next(
            (
                item
                for item in self._order_for_read(
                    context, candidates, min_position, now
                )
                if self._take_warmup_token(item, now)
            ),
            None,
        )
        if best is None:
            return None
        is_primary = primary is not None and best.id == primary.id
        return attempt.Destination(best, min_position, is_primary)

    def _order_for_read(self, context, targets, min_position, now):
        """Return targets in the order in which a read tries them."""
        view = self._node.view
        is_drawn = choice.is_draw_needed(
            len(view.members), view.list_group(context.route.group)
        )
        if is_drawn:
            self._node.metrics.count("reads_drawn")
            return choice.order_by_draw(
                [
                    self._make_loaded(context, target, min_position, now)
                    for target in targets
                ],
                self._random,
                self._node.load_reports.unseen_ratio,
            )
        return choice.order_by_wait(
            choice.Candidate(
                target, self._estimate_wait(context, target, min_position, now)
            )
            for target in targets
        )

    def _make_loaded(self, context, target, min_position, now):
        """Return a `choice.LoadedCandidate` of a target."""
        pool = self._node.pools.get(target.id)
        target_load = pool.load
        slots = max(1, target.slots)
        connect_s = 0.0
        if not pool.has_idle_connection(context.team):
            connect_s = penalties.CONNECT_PENALTY_S
        own_wait_s = target_load.latency_s * (
            1 + target_load.outstanding / slots
        )
        wait_s = self._estimate_wait(context, target, min_position, now)
        others = self._node.load_reports.get_others(target.id, now)
        return choice.LoadedCandidate(
            target=target,
            slots=slots,
            latency_s=target_load.latency_s,
            latency_age_s=target_load.get_latency_age_s(now),
            penalty_s=wait_s - own_wait_s - connect_s,
            connect_s=connect_s,
            own=target_load.outstanding,
            others=0.0 if others is None else others.calls,
            age_s=math.inf if others is None else others.age_s,
            is_partial=target.domain != self._node.settings.vm.domain,
        )

    async def _fetch_position(self, context):
        """Get a log position for a read that replicas may serve."""
        route = context.route
        if route.consistency is not desired.Consistency.PRIMARY:
            since = _get_covered_time(route)
            await self._node.position_exchange.fetch(route.group, since)

    def _find_min_position(self, context):
        route = context.route
        session_position = None
        if route.consistency is desired.Consistency.SESSION:
            session_position = context.session.get_commit_position(route.group)
        return eligibility.find_min_position(
            self._node.get_log_positions(route.group),
            session_position,
            _get_covered_time(route),
        )

    def _estimate_wait(self, context, target, min_position, now):
        pool = self._node.pools.get(target.id)
        return penalties.estimate_wait_s(
            pool.load,
            target,
            min_position,
            self._node.settings.vm.domain,
            now,
            pool.has_idle_connection(context.team),
            self._node.distances.get_added_s(target.domain),
        )

    def _is_allowed(self, context, target):
        view = self._node.view
        team = view.state.teams.get(context.team)
        return eligibility.is_allowed(
            target, context.route, team, view, self._node.get_region
        )

    def _take_warmup_token(self, target, now):
        """Take a token of a target's warmup limit; return whether it had one.

        Returns True for a target without such a limit.

        A target that has just started takes few statements a second.
        The limit holds for all VMs together; each has an equal share.
        """
        group_settings = self._node.view.state.groups.get(target.group)
        if (
            group_settings is None
            or not group_settings.warmup_per_s
            or not target.warmup_left_s
        ):
            return True
        members = max(1, len(self._node.view.members))
        allowance = token_bucket.Allowance(
            group_settings.warmup_per_s / members, 1.0
        )
        bucket = self._node.pools.get(target.id).warmup
        return bucket.take(allowance, 1, now) > 0


def _get_covered_time(route):
    """Return the clock time whose commits a read of a route must see."""
    return clock.now() - route.max_staleness_s + TRANSIT_MARGIN_S
