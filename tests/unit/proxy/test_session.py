"""Sessions whose transaction a graceful stop fails."""

import trio

from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import admission
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import node
from geraniumridge._internal.proxy import session
from geraniumridge._internal.proxy import transaction
from geraniumridge._internal.utils import clock
from lib import fleets

ROLLBACK_TIME_S = 0.05
COMMIT = statements.Statement("q2", statements.Verb.COMMIT, b"COMMIT")
WRITE = statements.Statement("q1", statements.Verb.WRITE, b"WRITE a 1")


class SlowRollbackRunner:
    """Runner that records what it runs; rollbacks take a while."""

    def __init__(self):
        self.executed = []

    async def run(self, context, destination, timeout_s):
        """Run the first statement of a transaction."""
        self.executed.append(context.statement.text)
        answer = statements.Answer(digest=b"d")
        return attempt.AttemptResult(answer, None, 0)

    async def roll_back(self, connection):
        """Roll back slowly."""
        await trio.sleep(ROLLBACK_TIME_S)


class FixedRouter:
    """Router with one target."""

    async def try_targets(self, context, is_read, budget, run_attempt):
        """Try the target once."""
        destination = attempt.Destination("a", None, True)
        return await run_attempt(context, destination, budget)


def make_node():
    settings = proxy_settings.ProxySettings(
        vm=proxy_settings.VmSettings("vm-1", "north", "127.0.0.1"),
        listen=proxy_settings.ListenSettings("", "", 1, 1),
        platform=proxy_settings.PlatformSettings("", ""),
    )
    made = node.Node(settings, "boot", lambda key, value: value, None)
    made.view._state = fleets.make_state()
    made.view_age.confirm(clock.now())
    return made


def make_session_in_transaction(runner):
    """Return a session that has written in an open transaction."""
    vm_node = make_node()
    made = session.Session(vm_node, "orders", "key")
    admitted = admission.AdmissionResult(fleets.make_route(), "team")
    open_transaction = transaction.Transaction(vm_node, made, admitted, False)
    open_transaction._runner = runner
    open_transaction._router = FixedRouter()
    open_transaction._connection = "connection"
    open_transaction._has_written = True
    made._transaction = open_transaction
    return made


def run_during_rollback(statement):
    """Return the answer and what was run beside the rollback of a stop."""

    async def main():
        runner = SlowRollbackRunner()
        running = make_session_in_transaction(runner)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.fail_transaction)
            await trio.sleep(ROLLBACK_TIME_S / 5)
            answer = await running.execute(statement)
        return answer, runner.executed

    return trio.run(main)


def test_commit_of_a_transaction_that_a_stop_rolls_back_is_no_success():
    answer, executed = run_during_rollback(COMMIT)
    assert answer.outcome is statements.Outcome.ROLLED_BACK
    assert not executed


def test_write_in_a_transaction_that_a_stop_rolls_back_is_not_run():
    answer, executed = run_during_rollback(WRITE)
    assert not answer.is_success
    assert not executed
