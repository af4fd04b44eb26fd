"""How long and how often a statement is tried."""

import trio

from geraniumridge._internal.models import statements

TARGET_WAIT_SHARE = 0.2
"""Part of the objective for which a statement waits for a target that
may run it, before it is refused."""

TARGET_LOOKUP_PAUSE_S = 0.01
"""Pause before targets are looked up again."""

REFUSED_RETRY_PAUSE_S = 0.02
"""Pause after every target has refused."""

MIN_ATTEMPT_TIME_LEFT_S = 0.02
"""Least time left in which a further try makes sense."""

MIN_READ_TIMEOUT_S = 0.4
"""Least time that a read gets at one target."""


class AttemptBudget:
    """The tries of one statement; times on trio's clock, in seconds.

    Parameters
    ----------
    route : desired.Route
        Gives the time limit, the objective and the attempts.
    """

    def __init__(self, route):
        now = trio.current_time()
        self._objective_s = route.objective_s
        self._deadline = now + route.timeout_s
        self._target_wait_deadline = (
            now + TARGET_WAIT_SHARE * route.objective_s
        )
        self._attempts_left = max(1, route.attempts)
        self._has_reached_target = False
        self._reason = "no target may run it now"
        self._outcome = statements.Outcome.OVERLOADED
        self.excluded = set()

    @property
    def has_further_attempt(self):
        """Whether the statement may run once more after this run."""
        return self._attempts_left > 1

    def may_continue(self):
        """Tell whether to try again."""
        now = trio.current_time()
        if (
            self._attempts_left <= 0
            or now >= self._deadline - MIN_ATTEMPT_TIME_LEFT_S
        ):
            return False
        return self._has_reached_target or now < self._target_wait_deadline

    def get_attempt_timeout_s(self, is_write):
        """Return the bound on the next try, in seconds."""
        left_s = self._deadline - trio.current_time()
        if is_write or not self.has_further_attempt:
            return left_s
        return min(left_s, max(self._objective_s, MIN_READ_TIMEOUT_S))

    async def wait_before_retry(self):
        """Wait before all targets are tried again."""
        await trio.sleep(
            REFUSED_RETRY_PAUSE_S if self.excluded else TARGET_LOOKUP_PAUSE_S
        )
        self.excluded.clear()

    def note_not_sent(self, target, reason):
        """Note a try that did not reach its target."""
        self.excluded.add(target)
        if not self._has_reached_target:
            # What a target said itself explains more.
            self._reason = reason

    def note_refused(self, target, answer):
        """Note a target's answer that it did not run the statement."""
        self._has_reached_target = True
        self.excluded.add(target)
        self._reason = f"{target}: {answer.outcome.value}"

    def note_failed_read(self, target, reason):
        """Note a try that may have run, for a read."""
        self._has_reached_target = True
        self._attempts_left -= 1
        self.excluded.add(target)
        self._reason = reason
        if self._attempts_left <= 0:
            self._outcome = statements.Outcome.FAILED

    def make_final_answer(self):
        """Return the final answer."""
        return statements.Answer(outcome=self._outcome, detail=self._reason)
