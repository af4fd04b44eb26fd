"""Statements outside transactions, retried where that is safe."""

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import attempt_budget
from geraniumridge._internal.proxy import router

Outcome = statements.Outcome


class AutocommitRunner:
    """Runner of statements that are each a transaction of their own.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._runner = attempt.StatementRunner(node)
        self._router = router.Router(node)

    async def run(self, session, admission_result, statement, is_write):
        """Run a statement and return its `statements.Answer`."""
        context = attempt.StatementContext(
            session,
            statement,
            admission_result.route,
            admission_result.team,
            is_write,
        )
        budget = attempt_budget.AttemptBudget(admission_result.route)
        return await self._router.try_targets(
            context, not is_write, budget, self._attempt
        )

    async def _attempt(self, context, destination, budget):
        """Return the answer, or None to try another target.

        A write that may have run is not retried: its answer is
        IN_DOUBT.
        """
        timeout_s = budget.get_timeout_s(context.commits_writes)
        try:
            result = await self._runner.run(context, destination, timeout_s)
        except exceptions.ConnectionLostError as error:
            if context.commits_writes:
                return statements.Answer(
                    outcome=Outcome.IN_DOUBT, detail=str(error)
                )
            budget.note_failed_read(destination.target.id, str(error))
            return None
        answer = result.answer
        if answer.is_success or answer.outcome in statements.NOT_EXECUTED:
            return answer
        if context.commits_writes or not budget.has_further_attempt:
            return answer
        budget.note_failed_read(destination.target.id, answer.outcome.value)
        return None
