"""A caller's transaction, pinned to one connection."""

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import attempt
from geraniumridge._internal.proxy import patience
from geraniumridge._internal.proxy import router

Outcome = statements.Outcome

BUSY_TRIES = 5
"""Tries of a statement that a busy target refuses."""


class Transaction:
    """One transaction; it begins at a target with its first statement.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    session : proxy.session.Session
        Whose transaction it is.
    grant : proxy.admission.Grant
        Route and team, fixed until it ends.
    is_read_only : bool
        Whether the caller asked for a transaction that only reads.
    """

    def __init__(self, node, session, grant, is_read_only):
        self._runner = attempt.Runner(node)
        self._router = router.Router(node)
        self._session = session
        self._grant = grant
        self._is_read_only = is_read_only
        self._connection = None
        self._plan = None
        self._epoch = 0
        self._has_written = False

    async def run(self, statement, is_write):
        """Run a statement of the transaction.

        After any answer but a success the transaction is over; the
        answer then promises that nothing of it is kept.
        """
        if is_write and self._is_read_only:
            return _roll_back_answer("the transaction only reads")
        self._has_written |= is_write
        if self._connection is None:
            return await self._run_first(statement)
        return await self._run_next(statement)

    async def commit(self, statement):
        """Commit and return the target's answer."""
        if self._connection is None:
            answer = await self._run_first(statement)
        else:
            answer = await self._run_next(statement)
        if answer.is_success:
            if self._has_written:
                group = self._grant.route.group
                self._session.note_commit(group, answer.position)
        else:
            await self.roll_back()
        return answer

    async def roll_back(self):
        """End the transaction at its target."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._runner.roll_back(connection)

    async def _run_first(self, statement):
        tries = patience.Patience(self._grant.route)
        work = self._make_work(statement, begin=self._is_read_only)
        return await self._router.try_targets(
            work, self._is_read_only, tries, self._try_first
        )

    async def _try_first(self, work, plan, tries):
        timeout_s = tries.get_timeout_s(self._has_written)
        try:
            result = await self._runner.run(work, plan, timeout_s)
        except exceptions.ConnectionLostError as error:
            return self._fail(work.statement, str(error))
        answer = result.answer
        if answer.is_success:
            self._plan = plan._replace(minimum=None)
            self._connection = result.connection
            self._epoch = result.epoch
            return answer
        if result.connection is not None:
            await self._runner.roll_back(result.connection)
        if answer.outcome in statements.NOT_RUN:
            return answer
        return self._conclude(work.statement, answer)

    async def _run_next(self, statement):
        work = self._make_work(statement)
        until = trio.current_time() + self._grant.route.timeout_s
        for _ in range(BUSY_TRIES):
            connection, self._connection = self._connection, None
            try:
                await self._runner.prepare(connection, work, until)
                result = await self._runner.call(
                    work, self._plan, connection, until, self._epoch
                )
            except exceptions.NotSentError as error:
                return _roll_back_answer(str(error))
            except exceptions.ConnectionLostError as error:
                return self._fail(statement, str(error))
            self._connection = result.connection
            is_busy = result.answer.outcome is Outcome.OVERLOADED
            if not is_busy or self._connection is None:
                break
            await trio.sleep(patience.BUSY_PAUSE_S)
        if result.answer.is_success:
            return result.answer
        return self._conclude(statement, result.answer)

    def _make_work(self, statement, begin=None):
        is_commit = statement.verb is statements.Verb.COMMIT
        return attempt.Work(
            self._session,
            statement,
            self._grant.route,
            self._grant.team,
            is_commit and self._has_written,
            begin,
        )

    def _conclude(self, statement, answer):
        """Turn a target's refusal into the transaction's outcome."""
        is_kept = answer.outcome in (
            Outcome.FAILED,
            Outcome.TIMED_OUT,
            Outcome.IN_DOUBT,
        )
        if is_kept:
            return self._fail(statement, answer.outcome.value)
        return _roll_back_answer(answer.outcome.value)

    def _fail(self, statement, reason):
        is_commit = statement.verb is statements.Verb.COMMIT
        if is_commit and self._has_written:
            return statements.Answer(outcome=Outcome.IN_DOUBT, detail=reason)
        return _roll_back_answer(reason)


def _roll_back_answer(reason):
    return statements.Answer(outcome=Outcome.ROLLED_BACK, detail=reason)
