"""Limit on the time and the number of attempts of a statement."""

import random

import trio

from geraniumridge._internal.models import statements

TARGET_WAIT_SHARE = 0.2
"""Fraction of the route's latency objective for which a statement waits for
a target that may run it, before it is refused."""

LOOKUP_PAUSE_S = 0.01
"""Pause before targets are looked up again."""

REFUSED_PAUSE_S = 0.02
"""First pause after targets have refused, doubled each time; also the pause
before a busy target is tried again within a transaction."""

MAX_REFUSED_PAUSE_S = 0.32
"""Longest pause after targets have refused."""

MIN_TIME_LEFT_S = 0.02
"""Least time left in which a further attempt makes sense, within one region.
The round trip to a target of another region is added."""

MIN_READ_TIMEOUT_S = 0.4
"""Least timeout of a read at one target, if so much time is left."""


class AttemptBudget:
    """Attempts of one statement; times are on trio's clock, in seconds.

    An attempt counts if it may have run at its target. One that was not
    sent, or that the target refused to run, does not count; the time
    limits bound these.

    Parameters
    ----------
    route : desired.Route
        Gives the time limit, the latency objective and the attempts.
    """

    def __init__(self, route):
        now = trio.current_time()
        self._objective_s = route.latency_objective_s
        self._deadline = now + route.timeout_s
        self._target_wait_deadline = (
            now + TARGET_WAIT_SHARE * route.latency_objective_s
        )
        self._attempts_left = max(1, route.attempts)
        self._has_reached_target = False
        self._refused_rounds = 0
        self._is_exhausted = False
        self._reason = "no target may run it now"
        self._outcome = statements.Outcome.OVERLOADED
        self.excluded = set()

    @property
    def has_further_attempt(self):
        """Whether the statement may run again after the current attempt."""
        return self._attempts_left > 1

    def may_continue(self):
        """Return whether another attempt may start."""
        now = trio.current_time()
        if self._attempts_left <= 0 or self._is_exhausted:
            return False
        if now >= self._deadline - MIN_TIME_LEFT_S:
            return False
        return self._has_reached_target or now < self._target_wait_deadline

    def may_reach(self, round_trip_s):
        """Return whether an answer can come in time.

        Parameters
        ----------
        round_trip_s : float
            Round trip to the target in seconds, 0 within one region.
        """
        if not round_trip_s:
            return True
        left = self._deadline - trio.current_time()
        return left >= MIN_TIME_LEFT_S + round_trip_s

    def get_timeout_s(self, is_write):
        """Return the timeout of the next attempt, in seconds."""
        left = self._deadline - trio.current_time()
        if is_write or not self.has_further_attempt:
            return left
        return min(left, max(self._objective_s, MIN_READ_TIMEOUT_S))

    async def wait_before_retry(self):
        """Wait before all targets are tried again.

        Without time for another attempt after the pause, the budget ends at
        once.
        """
        pause_s = self._next_pause_s()
        left = self._deadline - trio.current_time()
        if pause_s >= left - MIN_TIME_LEFT_S:
            self._is_exhausted = True
            return
        await trio.sleep(pause_s)
        self.excluded.clear()

    def _next_pause_s(self):
        if not self._has_reached_target:
            return LOOKUP_PAUSE_S
        pause_s = min(
            MAX_REFUSED_PAUSE_S, REFUSED_PAUSE_S * 2**self._refused_rounds
        )
        self._refused_rounds += 1
        return pause_s * random.uniform(0.5, 1.0)

    def note_not_sent(self, target, reason):
        """Note an attempt that did not reach its target."""
        self.excluded.add(target)
        if not self._has_reached_target:
            # A reason that a target gave itself is more specific.
            self._reason = reason

    def note_refused(self, target, answer):
        """Note a target's answer that it did not run the statement."""
        self._has_reached_target = True
        self.excluded.add(target)
        self._reason = f"{target}: {answer.outcome.value}"

    def note_failed_read(self, target, reason):
        """Note a failed read; only these use up the attempts.

        The read may have run at the target.
        """
        self._has_reached_target = True
        self._attempts_left -= 1
        self.excluded.add(target)
        self._reason = reason
        if self._attempts_left <= 0:
            self._outcome = statements.Outcome.FAILED

    def make_final_answer(self):
        """Return the final answer."""
        return statements.Answer(outcome=self._outcome, detail=self._reason)
