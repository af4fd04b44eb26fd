"""Time limit and pauses of a statement's attempts."""

import trio
import trio.testing

from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt_budget
from lib import fleets

BUSY = statements.Answer(outcome=statements.Outcome.OVERLOADED)


async def count_attempts(route):
    """Return the attempts of a statement that every target refuses."""
    budget = attempt_budget.AttemptBudget(route)
    count = 0
    while budget.may_continue():
        count += 1
        budget.note_refused("a", BUSY)
        await budget.wait_before_retry()
    return count


def run(test, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(test, *arguments, clock=clock)


def test_statement_that_every_target_refuses_is_tried_a_few_times_only():
    assert 3 <= run(count_attempts, fleets.make_route(timeout_s=1.0)) <= 12


def test_statement_is_refused_at_once_if_its_next_attempt_came_too_late():
    async def main():
        route = fleets.make_route(timeout_s=0.03)
        budget = attempt_budget.AttemptBudget(route)
        budget.note_refused("a", BUSY)
        await budget.wait_before_retry()
        assert not budget.may_continue()
        assert trio.current_time() - started < 0.01

    clock = trio.testing.MockClock(autojump_threshold=0)
    started = clock.current_time()
    trio.run(main, clock=clock)
