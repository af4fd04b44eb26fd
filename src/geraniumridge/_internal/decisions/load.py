"""Load and health of a target, as observed by one VM's own calls."""

import math

from geraniumridge._internal.models import records

INITIAL_LATENCY_S = 0.01
"""Assumed latency of a target that has not answered yet."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the moving average of the latency."""

FIRST_RETRY_DELAY_S = 0.3
"""Delay before a target is tried again after its first failure; each
further failure doubles it."""

MAX_RETRY_DELAY_S = 2.0
"""Longest delay between attempts at a target that keeps failing."""

FIRST_OVERLOAD_DELAY_S = 0.02
"""Delay before further statements are sent to a target that refused one as
overloaded; each refusal of one sent after the delay doubles it."""

MAX_OVERLOAD_DELAY_S = 0.64
"""Longest such delay; bounds how late a target that has recovered is used
again."""

OCCUPANCY_WINDOW_S = 0.3
"""Time constant of the average number of outstanding calls; longer than a
statement, so that one VM's few statements add up to a steady figure. It is
also the mean age of what the average is made of."""

LAG_REPORT_VALID_S = 0.1
"""How long a reported log position shows that a target lags behind; by
then it has probably caught up."""

ATTEMPT_HOLD_OFF_S = 0.5
"""How long an attempt at a failing target may take; other calls avoid the
target until then."""

STALLED_CALL_AGE_S = 0.25
"""Age from which an unanswered call counts against its target."""


class TargetLoad:
    """Outstanding calls, latency and failures of one target."""

    def __init__(self):
        self._call_starts = {}
        self._next_call = 0
        self._latency_s = INITIAL_LATENCY_S
        self._latency_seen_at = -math.inf
        self._occupancy = 0.0
        self._occupancy_at = -math.inf
        self._answered_calls = 0
        self._failures = 0
        self._failing_since = None
        self._answered_at = -math.inf
        self._retry_at = 0.0
        self._overload_steps = 0
        self._refused_until = -math.inf
        self._position = records.LOG_START
        self._position_seen_at = -math.inf

    @property
    def outstanding(self):
        """Number of calls without an answer."""
        return len(self._call_starts)

    @property
    def latency_s(self):
        """Moving average of the latency, in seconds."""
        return self._latency_s

    @property
    def answered_calls(self):
        """Number of statements that the target has answered."""
        return self._answered_calls

    @property
    def failures(self):
        """Number of failures since the last answer."""
        return self._failures

    @property
    def failing_since(self):
        """Clock time of the first failure since the last answer, or None."""
        return self._failing_since

    @property
    def position(self):
        """Highest log position that the target is known to have reached."""
        return self._position

    def begin(self, now):
        """Register a new call and return its number."""
        self._update_occupancy(now)
        self._next_call += 1
        self._call_starts[self._next_call] = now
        return self._next_call

    def end(self, call, now, is_answered):
        """Remove a finished call and, if it was answered, note its latency."""
        self._update_occupancy(now)
        started = self._call_starts.pop(call)
        if is_answered:
            self._answered_calls += 1
            self._latency_seen_at = now
            self._latency_s += LATENCY_WEIGHT * (
                now - started - self._latency_s
            )
            self.note_answer(now)

    def get_latency_age_s(self, now):
        """Return the time since the last answer, in seconds."""
        return max(0.0, now - self._latency_seen_at)

    def get_occupancy(self, now):
        """Return the average of `outstanding` over `OCCUPANCY_WINDOW_S`."""
        elapsed_s = max(0.0, now - self._occupancy_at)
        former = math.exp(-elapsed_s / OCCUPANCY_WINDOW_S)
        return former * self._occupancy + (1 - former) * self.outstanding

    def note_answer(self, now):
        """Reset the failures, as the target answered with any outcome."""
        self._answered_at = now
        self._failures = 0
        self._failing_since = None

    def note_failure(self, now, since=None):
        """Record a connection that was refused, broken or silent.

        Parameters
        ----------
        now : float
            Clock time, in seconds.
        since : float, optional
            Clock time at which the failed attempt began, in seconds.
        """
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = now if since is None else since
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** (self._failures - 1)
        )
        self._retry_at = now + delay_s

    def note_abandoned(self, now, since):
        """Record an abandoned attempt as a failure if it took long enough.

        A short one does not show that the target is silent.
        """
        if now - since > STALLED_CALL_AGE_S:
            self.note_failure(now, since)

    def note_attempt(self, now):
        """Let other calls avoid a failing target while one attempt runs."""
        if self._failures > 0:
            self._retry_at = max(self._retry_at, now + ATTEMPT_HOLD_OFF_S)

    def note_overloaded(self, sent_at, now, jitter):
        """Record that the target refused a statement as overloaded.

        Statements that were sent before the last delay had ended do not
        prolong it.

        Parameters
        ----------
        sent_at : float
            Clock time, in seconds, at which the statement was sent.
        now : float
            Clock time, in seconds.
        jitter : float
            From 0 to 1; spreads the delays of the VMs.
        """
        if sent_at < self._refused_until:
            return
        delay_s = min(
            MAX_OVERLOAD_DELAY_S,
            FIRST_OVERLOAD_DELAY_S * 2**self._overload_steps,
        )
        self._overload_steps += 1
        self._refused_until = now + delay_s * (0.5 + 0.5 * jitter)

    def note_accepted(self):
        """Record that the target ran a statement.

        One success shortens the next delay only by one step: an overloaded
        target still runs some statements.
        """
        self._overload_steps = max(0, self._overload_steps - 1)

    def is_overloaded(self, now):
        """Return whether the delay after a refusal still runs."""
        return now < self._refused_until

    def note_position(self, position, now):
        """Record a log position reported by the target."""
        if position is not None:
            self._position = max(self._position, position)
            self._position_seen_at = now

    def is_behind(self, min_position, now):
        """Return whether the target recently lagged behind a position."""
        if self._position >= min_position:
            return False
        return now - self._position_seen_at < LAG_REPORT_VALID_S

    def is_available(self, now):
        """Return whether no delay after a failure or refusal runs."""
        return not self.is_backing_off(now) and not self.is_overloaded(now)

    def is_backing_off(self, now):
        """Return whether the retry delay after a failure still runs."""
        return self._failures > 0 and now < self._retry_at

    def get_silent_s(self, now):
        """Return how long calls have been unanswered, in seconds."""
        since = self._failing_since
        if self._call_starts:
            oldest = min(self._call_starts.values())
            since = oldest if since is None else min(since, oldest)
        if since is None:
            return 0.0
        return max(0.0, now - max(since, self._answered_at))

    def is_stalled(self, now):
        """Return whether a call is older than `STALLED_CALL_AGE_S`."""
        return any(
            now - started > STALLED_CALL_AGE_S
            for started in self._call_starts.values()
        )

    def _update_occupancy(self, now):
        """Add the time since the last change to the average."""
        self._occupancy = self.get_occupancy(now)
        self._occupancy_at = now
