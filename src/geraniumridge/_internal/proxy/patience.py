"""How long and how often a statement is tried."""

import trio

from geraniumridge._internal.models import statements

HOLD_SHARE = 0.2
"""Part of the objective for which a statement waits for a target that
may run it, before it is refused."""

PAUSE_S = 0.01
"""Pause before targets are looked up again."""

BUSY_PAUSE_S = 0.02
"""Pause after every target has refused."""

MIN_TRY_S = 0.02
"""Least time left in which a further try makes sense."""

MIN_ATTEMPT_S = 0.4
"""Least time that a read gets at one target."""


class Patience:
    """The tries of one statement; times on trio's clock, in seconds.

    Parameters
    ----------
    route : desired.Route
        Gives the time limit, the objective and the attempts.
    """

    def __init__(self, route):
        now = trio.current_time()
        self._objective_s = route.latency_objective_s
        self._until = now + route.timeout_s
        self._hold_until = now + HOLD_SHARE * route.latency_objective_s
        self._runs_left = max(1, route.attempts)
        self._was_offered = False
        self._reason = "no target may run it now"
        self._outcome = statements.Outcome.OVERLOADED
        self.excluded = set()

    @property
    def has_attempts(self):
        """Whether the statement may run once more after this run."""
        return self._runs_left > 1

    def goes_on(self):
        """Tell whether to try again."""
        now = trio.current_time()
        if self._runs_left <= 0 or now >= self._until - MIN_TRY_S:
            return False
        return self._was_offered or now < self._hold_until

    def get_timeout_s(self, is_write):
        """Return the bound on the next try, in seconds."""
        left = self._until - trio.current_time()
        if is_write or not self.has_attempts:
            return left
        return min(left, max(self._objective_s, MIN_ATTEMPT_S))

    async def pause(self):
        """Wait before all targets are tried again."""
        await trio.sleep(BUSY_PAUSE_S if self.excluded else PAUSE_S)
        self.excluded.clear()

    def note_not_sent(self, target, reason):
        """Note a try that did not reach its target."""
        self.excluded.add(target)
        if not self._was_offered:
            # What a target said itself explains more.
            self._reason = reason

    def note_refused(self, target, answer):
        """Note a target's answer that it did not run the statement."""
        self._was_offered = True
        self.excluded.add(target)
        self._reason = f"{target}: {answer.outcome.value}"

    def note_run(self, target, reason):
        """Note a try that may have run, for a read."""
        self._was_offered = True
        self._runs_left -= 1
        self.excluded.add(target)
        self._reason = reason
        if self._runs_left <= 0:
            self._outcome = statements.Outcome.FAILED

    def refuse(self):
        """Return the final answer."""
        return statements.Answer(outcome=self._outcome, detail=self._reason)
