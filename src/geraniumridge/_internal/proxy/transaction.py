"""Transactions of callers, each pinned to one connection."""

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import attempt_budget
from geraniumridge._internal.proxy import router

Outcome = statements.Outcome

MAX_BUSY_ATTEMPTS = 5
"""Attempts of a later statement of a transaction at a busy target. It
cannot move to another target, as the transaction is open at this one."""


class Transaction:
    """One transaction; its first statement chooses the target.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    session : proxy.session.Session
        Session that the transaction belongs to.
    admission_result : proxy.admission.AdmissionResult
        Route and team, fixed until it ends.
    is_read_only : bool
        Whether the caller began it as read-only.
    """

    def __init__(self, node, session, admission_result, is_read_only):
        self._runner = attempt.StatementRunner(node)
        self._router = router.Router(node)
        self._session = session
        self._admission_result = admission_result
        self._is_read_only = is_read_only
        self._connection = None
        self._destination = None
        self._epoch = 0
        self._has_written = False
        self._is_rolled_back = False

    def check_key(self):
        """Return the outcome that ends it as its key fails, or None."""
        admitted = self._admission_result
        return self._session.check_key(admitted.route, admitted.team)

    async def run(self, statement, is_write):
        """Run a statement of the transaction.

        Any answer other than a success ends the transaction; none of
        its writes is committed then.
        """
        if is_write and self._is_read_only:
            return _make_rollback_answer("the transaction only reads")
        self._has_written |= is_write
        return await self._run_statement(statement)

    async def commit(self, statement):
        """Commit; return the answer, IN_DOUBT if the result is unknown."""
        answer = await self._run_statement(statement)
        if answer.is_success:
            if self._has_written:
                group = self._admission_result.route.group
                self._session.note_commit(group, answer.position)
        else:
            await self.roll_back()
        return answer

    async def roll_back(self):
        """Roll back the transaction at its target, if it began there."""
        self._is_rolled_back = True
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._runner.roll_back(connection)

    async def _run_statement(self, statement):
        if self._is_rolled_back:
            return _make_rollback_answer("the transaction was rolled back")
        if self._connection is None:
            answer = await self._run_first(statement)
        else:
            answer = await self._run_next(statement)
        if self._is_rolled_back:
            # The statement was running, and so kept the connection.
            await self.roll_back()
        return answer

    async def _run_first(self, statement):
        budget = attempt_budget.AttemptBudget(self._admission_result.route)
        context = self._make_context(
            statement, begin_read_only=self._is_read_only
        )
        return await self._router.try_targets(
            context, self._is_read_only, budget, self._attempt_first
        )

    async def _attempt_first(self, context, destination, budget):
        timeout_s = budget.get_timeout_s(self._has_written)
        try:
            result = await self._runner.run(context, destination, timeout_s)
        except exceptions.ConnectionLostError as error:
            return self._make_failure(context.statement, str(error))
        answer = result.answer
        if answer.is_success:
            self._destination = destination._replace(min_position=None)
            self._connection = result.connection
            self._epoch = result.epoch
            return answer
        if result.connection is not None:
            await self._runner.roll_back(result.connection)
        if answer.outcome in statements.NOT_EXECUTED:
            return answer
        return self._translate_refusal(context.statement, answer)

    async def _run_next(self, statement):
        context = self._make_context(statement)
        deadline = trio.current_time() + self._admission_result.route.timeout_s
        for _ in range(MAX_BUSY_ATTEMPTS):
            connection, self._connection = self._connection, None
            if connection is None:
                return _make_rollback_answer("the transaction was failed")
            try:
                await self._runner.restore_session(
                    connection, context, deadline
                )
                result = await self._runner.run_on_connection(
                    context,
                    self._destination,
                    connection,
                    deadline,
                    self._epoch,
                )
            except exceptions.NotSentError as error:
                return _make_rollback_answer(str(error))
            except exceptions.ConnectionLostError as error:
                return self._make_failure(statement, str(error))
            self._connection = result.connection
            is_busy = result.answer.outcome is Outcome.OVERLOADED
            if not is_busy or self._connection is None:
                break
            await trio.sleep(attempt_budget.REFUSED_PAUSE_S)
        if result.answer.is_success:
            return result.answer
        return self._translate_refusal(statement, result.answer)

    def _make_context(self, statement, begin_read_only=None):
        is_commit = statement.verb is statements.Verb.COMMIT
        return attempt.StatementContext(
            self._session,
            statement,
            self._admission_result.route,
            self._admission_result.team,
            is_commit and self._has_written,
            begin_read_only,
            begins_operation=begin_read_only is not None,
        )

    def _translate_refusal(self, statement, answer):
        """Return the answer that a target's failure means for the transaction.

        With some outcomes a COMMIT may still have succeeded.
        """
        may_be_kept = answer.outcome in (
            Outcome.FAILED,
            Outcome.TIMED_OUT,
            Outcome.IN_DOUBT,
        )
        if may_be_kept:
            return self._make_failure(statement, answer.outcome.value)
        return _make_rollback_answer(answer.outcome.value)

    def _make_failure(self, statement, reason):
        is_commit = statement.verb is statements.Verb.COMMIT
        if is_commit and self._has_written:
            return statements.Answer(outcome=Outcome.IN_DOUBT, detail=reason)
        return _make_rollback_answer(reason)


def _make_rollback_answer(reason):
    return statements.Answer(outcome=Outcome.ROLLED_BACK, detail=reason)
