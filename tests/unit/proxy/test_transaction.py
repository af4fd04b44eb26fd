"""Transactions that end while one of their statements is being run."""

import trio

from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import admission
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import transaction
from lib import fleets

CONNECTION = "connection"
READ = statements.Statement("q1", statements.Verb.READ, b"READ a")


class BusyRunner:
    """Runner whose target refuses all but the first statement as busy."""

    def __init__(self):
        self.rolled_back = []

    async def run(self, context, destination, timeout_s):
        """Run the first statement."""
        answer = statements.Answer(digest=b"d")
        return attempt.AttemptResult(answer, CONNECTION, 0)

    async def restore_session(self, connection, context, deadline):
        """Check that there is a connection to restore."""
        assert connection == CONNECTION

    async def run_on_connection(
        self, context, destination, connection, deadline, epoch
    ):
        """Refuse a later statement."""
        answer = statements.Answer(outcome=statements.Outcome.OVERLOADED)
        return attempt.AttemptResult(answer, connection, 0)

    async def roll_back(self, connection):
        """Record the rollback."""
        self.rolled_back.append(connection)


def make_transaction(runner):
    admitted = admission.AdmissionResult(fleets.make_route(), "team")
    made = transaction.Transaction(None, None, admitted, False)
    made._runner = runner
    made._connection = CONNECTION
    return made


def test_statement_whose_transaction_is_failed_meanwhile_is_answered():
    """A stop fails transactions while their statements are tried again."""

    async def main():
        runner = BusyRunner()
        running = make_transaction(runner)
        answers = []

        async def run():
            answers.append(await running.run(READ, False))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(0.005)
            await running.roll_back()
        assert answers[0].outcome is statements.Outcome.ROLLED_BACK
        assert runner.rolled_back == [CONNECTION]

    trio.run(main)
