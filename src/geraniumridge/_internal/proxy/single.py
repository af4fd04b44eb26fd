"""Statements outside transactions, tried again where that is safe."""

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import patience
from geraniumridge._internal.proxy import router

Outcome = statements.Outcome


class SingleStatements:
    """Runs statements that are transactions of their own.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._runner = attempt.Runner(node)
        self._router = router.Router(node)

    async def run(self, session, grant, statement, is_write):
        """Run a statement and return its `statements.Answer`."""
        work = attempt.Work(
            session, statement, grant.route, grant.team, is_write
        )
        tries = patience.Patience(grant.route)
        return await self._router.try_targets(
            work, not is_write, tries, self._try
        )

    async def _try(self, work, plan, tries):
        """Return the answer, or None to try again."""
        timeout_s = tries.get_timeout_s(work.is_write)
        try:
            result = await self._runner.run(work, plan, timeout_s)
        except exceptions.ConnectionLostError as error:
            if work.is_write:
                return statements.Answer(
                    outcome=Outcome.IN_DOUBT, detail=str(error)
                )
            tries.note_run(plan.target.id, str(error))
            return None
        answer = result.answer
        if answer.is_success or answer.outcome in statements.NOT_EXECUTED:
            return answer
        if work.is_write or not tries.has_attempts:
            return answer
        tries.note_run(plan.target.id, answer.outcome.value)
        return None
