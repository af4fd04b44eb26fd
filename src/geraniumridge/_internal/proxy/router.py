"""Where a statement may run, and when to stop trying."""

from geraniumridge._internal.decisions import placement
from geraniumridge._internal.decisions import rates
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.utils import clock

ARRIVAL_S = 0.1
"""Taken off the bound on staleness for the way to the target."""


class Router:
    """Chooses targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node

    async def try_targets(self, work, is_read, tries, attempt_at):
        """Try targets in turn until one of them gives a final answer.

        Parameters
        ----------
        work : attempt.Work
            The statement.
        is_read : bool
            Whether a replica may serve it.
        tries : patience.Patience
            How long to go on.
        attempt_at : callable
            Async function of work, plan and tries; returns the answer,
            or None to try again. What it raises as not sent, and what
            the target did not run, is tried again too.

        Returns
        -------
        statements.Answer
            The final answer, or a refusal.
        """
        while tries.goes_on():
            plan = self.plan(work, is_read, tries.excluded)
            if plan is None:
                await tries.pause()
                continue
            try:
                answer = await attempt_at(work, plan, tries)
            except exceptions.NotSentError as error:
                tries.note_not_sent(plan.target.id, str(error))
                continue
            if answer is None:
                continue
            if answer.outcome not in statements.NOT_RUN:
                return answer
            tries.note_refused(plan.target.id, answer)
        return tries.refuse()

    def plan(self, work, is_read, excluded):
        """Return the `attempt.Plan` of the best target, or None.

        Parameters
        ----------
        work : attempt.Work
            The statement.
        is_read : bool
            Whether a replica may serve it.
        excluded : collection of str
            Targets that were tried in vain.
        """
        route = work.route
        if is_read and route.consistency is not desired.Consistency.PRIMARY:
            found = self._plan_read(work, excluded)
            if found is not None:
                return found
        return self._plan_primary(work, excluded)

    def _plan_primary(self, work, excluded):
        route = work.route
        now = clock.now()
        target = self._node.primacy.find_usable_primary(route.group, now)
        if target is None or target.id in excluded:
            return None
        if not self._is_allowed(work, target):
            return None
        if not self._warms_up(target, now):
            return None
        return attempt.Plan(target, None, True)

    def _plan_read(self, work, excluded):
        minimum = self._find_minimum(work)
        if minimum is None:
            return None
        now = clock.now()
        primary = self._node.primacy.find_usable_primary(work.route.group, now)
        candidates = [
            target
            for target in self._node.view.list_group(work.route.group)
            if target.id not in excluded
            and not target.is_draining
            and self._is_allowed(work, target)
            and not self._node.pools.get(target.id).load.is_backing_off(now)
        ]
        candidates.sort(
            key=lambda target: self._estimate(work, target, minimum, now)
        )
        best = next(
            (item for item in candidates if self._warms_up(item, now)), None
        )
        if best is None:
            return None
        is_primary = primary is not None and best.id == primary.id
        return attempt.Plan(best, minimum, is_primary)

    def _find_minimum(self, work):
        route = work.route
        session_mark = None
        if route.consistency is desired.Consistency.SESSION:
            session_mark = work.session.get_mark(route.group)
        since = clock.now() - route.max_age_s + ARRIVAL_S
        marks = self._node.get_marks(route.group)
        lead_term = self._node.get_lead_term(route.group)
        return placement.find_min_position(
            marks, session_mark, lead_term, since
        )

    def _estimate(self, work, target, minimum, now):
        pool = self._node.pools.get(target.id)
        return placement.estimate_wait_s(
            pool.load,
            target,
            minimum,
            self._node.settings.vm.domain,
            now,
            pool.has_idle(work.team),
        )

    def _is_allowed(self, work, target):
        view = self._node.view
        team = view.state.teams.get(work.team)
        return placement.is_eligible(
            target, work.route, team, view, self._node.get_region
        )

    def _warms_up(self, target, now):
        """Take a statement out of a cold target's limit, if it has one.

        The limit holds over all VMs; each uses its even part.
        """
        plan = self._node.view.state.groups.get(target.group)
        if plan is None or not plan.warmup_per_s or not target.warmup_left_s:
            return True
        members = max(1, len(self._node.view.members))
        allowance = rates.Allowance(plan.warmup_per_s / members, 1.0)
        bucket = self._node.pools.get(target.id).warmup
        return bucket.take(allowance, 1, now) > 0
