"""Sessions of callers, and the handlers of their statements."""

import logging
import sys
import typing

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import admission
from geraniumridge._internal.proxy import autocommit
from geraniumridge._internal.proxy import row_stream
from geraniumridge._internal.proxy import transaction
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

HANDLERS_BY_VERB = registry.Registry("statement verb")

Outcome = statements.Outcome
State = statements.TransactionState
Verb = statements.Verb


ENTRY_BYTES = 256
"""Bytes counted for a session value or prepared statement besides its texts,
so that empty ones are bounded too."""

MAX_LOGGED_CHARS = 200
"""Length to which texts of a caller are cut in the log."""


class PreparedStatement(typing.NamedTuple):
    """A prepared statement.

    `definition` is its access mode, READ or WRITE, and its query, as
    given in PREPARE.
    """

    definition: str
    is_write: bool


class Session:
    """Session of one caller connection.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    database : str
        Database that the caller connected to.
    key : str
        The caller's key.
    max_state_bytes : int, optional
        Bound on session values and prepared statements.
    """

    def __init__(self, node, database, key, max_state_bytes=sys.maxsize):
        self._node = node
        self._admission = admission.Admission(node, database, key)
        self._autocommit = autocommit.AutocommitRunner(node)
        self._transaction = None
        self._has_failed = False
        self._is_running = False
        self._commit_positions = {}
        self._row_stream = row_stream.RowStream()
        self._max_state_bytes = max_state_bytes
        self._state_bytes = 0
        self.values = {}
        self.prepared = {}

    @property
    def state(self):
        """Transaction state that is reported to the caller."""
        if self._has_failed:
            return State.FAILED
        return State.IDLE if self._transaction is None else State.OPEN

    @property
    def is_idle(self):
        """Whether no transaction is open."""
        return self.state is State.IDLE

    @property
    def is_running(self):
        """Whether a statement is being run."""
        return self._is_running

    @property
    def row_stream(self):
        """The `row_stream.RowStream` of the running statement."""
        return self._row_stream

    @property
    def state_bytes(self):
        """Bytes of the session values and prepared statements."""
        return self._state_bytes

    @property
    def idle_limit_s(self):
        """Idle timeout of the open transaction in seconds, or None."""
        state = self._node.view.state
        if self._transaction is None or state is None:
            return None
        return state.transaction_idle_timeout_s

    def get_commit_position(self, group):
        """Return the log position of the last commit, or None."""
        return self._commit_positions.get(group)

    def note_commit(self, group, position):
        """Record the log position of a commit of the session."""
        if position is not None:
            self._commit_positions[group] = max(
                position, self._commit_positions.get(group, position)
            )

    def check_start(self):
        """Return the `Outcome` that refuses a new session, or None."""
        return self._admission.check_start()

    def check_key(self, route, team):
        """Return the `Outcome` that ends an admitted operation, or None."""
        return self._admission.check_key(route, team)

    async def execute(self, statement, send_rows=None, hold_rows=None):
        """Run one statement and return its `statements.Answer`.

        Parameters
        ----------
        statement : statements.Statement
            The statement.
        send_rows : callable, optional
            Async function that sends rows of a large answer to the caller;
            the returned answer lacks them.
        hold_rows : callable, optional
            See `ports.targets.Call.hold_rows`.

        Raises
        ------
        exceptions.CallerBoundError
            If the session would have too many values or prepared statements.
        exceptions.AnswerInterruptedError
            If an answer failed of which the caller has received rows.
        """
        began_at = clock.now()
        self._row_stream = row_stream.RowStream(
            send_rows, trio.current_time(), hold_rows
        )
        self._is_running = True
        try:
            answer = await self._run_handler(statement)
        finally:
            self._is_running = False
        self._report(statement, answer, clock.now() - began_at)
        return answer._replace(state=self.state)

    async def _run_handler(self, statement):
        ending_verbs = (Verb.ROLLBACK, Verb.COMMIT)
        if self._has_failed and statement.verb not in ending_verbs:
            return make_refusal(
                Outcome.MALFORMED, "the transaction has failed"
            )
        return await HANDLERS_BY_VERB.get(statement.verb)(self, statement)

    def _report(self, statement, answer, took_s):
        """Record the outcome of a statement in the metrics and the log.

        Successes that the proxy answers itself are left out.
        """
        if answer.is_success and answer.digest is None:
            return
        metrics = self._node.metrics
        team = self._admission.team or admission.NO_TEAM
        if answer.is_success:
            metrics.count("served")
            metrics.record_latency(team, statement.verb.value, took_s)
        else:
            reason = answer.outcome.value.replace(" ", "_")
            metrics.count(f"refused:{reason}")
        logger.info(
            "statement finished",
            extra={
                "event": "served" if answer.is_success else "refused",
                "request": statement.id[:MAX_LOGGED_CHARS],
                "verb": statement.verb.value,
                "database": self._admission.database,
                "team": team,
                "outcome": answer.outcome and answer.outcome.value,
                "why": answer.detail[:MAX_LOGGED_CHARS],
                "took_ms": round(took_s * 1000, 1),
                "age_s": round(self._node.view_age.get_age(clock.now()), 2),
                "version": self._node.view.state.version,
            },
        )

    async def fail_transaction(self):
        """Roll back the open transaction and mark it as failed.

        The caller has to end a failed transaction before it can run
        further statements. It counts as failed before the rollback, as the
        caller may send a statement meanwhile.
        """
        if self._transaction is not None:
            self._has_failed = True
            await self.close()

    async def close(self):
        """End the session and roll back its open transaction."""
        ended, self._transaction = self._transaction, None
        if ended is not None:
            await ended.roll_back()

    @HANDLERS_BY_VERB.register(Verb.SET)
    async def _set(self, statement):
        self._count_state(
            statement.name, self.values.get(statement.name), statement.detail
        )
        self.values[statement.name] = statement.detail
        return statements.Answer()

    @HANDLERS_BY_VERB.register(Verb.PREPARE)
    async def _prepare(self, statement):
        former = self.prepared.get(statement.name)
        self._count_state(
            statement.name, former and former.definition, statement.detail
        )
        self.prepared[statement.name] = PreparedStatement(
            statement.detail, statement.is_write
        )
        return statements.Answer()

    @HANDLERS_BY_VERB.register(Verb.DEALLOCATE)
    async def _deallocate(self, statement):
        former = self.prepared.pop(statement.name, None)
        if former is None:
            return make_refusal(Outcome.UNKNOWN_STATEMENT, statement.name)
        self._state_bytes -= count_entry_bytes(
            statement.name, former.definition
        )
        return statements.Answer()

    def _count_state(self, name, former, text):
        """Count a value or prepared statement that replaces a former one."""
        added = count_entry_bytes(name, text)
        if former is not None:
            added -= count_entry_bytes(name, former)
        if self._state_bytes + added > self._max_state_bytes:
            raise exceptions.CallerBoundError("state_bytes")
        self._state_bytes += added

    @HANDLERS_BY_VERB.register(Verb.BEGIN)
    async def _begin(self, statement):
        if self._transaction is not None:
            return make_refusal(Outcome.MALFORMED, "in a transaction already")
        admission_result = await self._admission.admit()
        if admission_result.outcome is not None:
            return make_refusal(
                admission_result.outcome, admission_result.detail
            )
        self._transaction = transaction.Transaction(
            self._node, self, admission_result, statement.is_read_only
        )
        return statements.Answer()

    @HANDLERS_BY_VERB.register(Verb.COMMIT)
    async def _commit(self, statement):
        if self._has_failed:
            self._has_failed = False
            return make_refusal(
                Outcome.ROLLED_BACK, "the transaction had failed"
            )
        if self._transaction is None:
            return make_refusal(Outcome.MALFORMED, "not in a transaction")
        refusal = await self._refuse_without_key()
        if refusal is not None:
            self._has_failed = False
            return refusal
        ended, self._transaction = self._transaction, None
        return await ended.commit(statement)

    @HANDLERS_BY_VERB.register(Verb.ROLLBACK)
    async def _roll_back(self, statement):
        if self._has_failed:
            self._has_failed = False
            return statements.Answer()
        if self._transaction is None:
            return make_refusal(Outcome.MALFORMED, "not in a transaction")
        ended, self._transaction = self._transaction, None
        await ended.roll_back()
        return statements.Answer()

    @HANDLERS_BY_VERB.register(Verb.READ)
    async def _read(self, statement):
        return await self._run(statement, False)

    @HANDLERS_BY_VERB.register(Verb.WRITE)
    async def _write(self, statement):
        return await self._run(statement, True)

    @HANDLERS_BY_VERB.register(Verb.EXECUTE)
    async def _execute(self, statement):
        prepared = self.prepared.get(statement.name)
        if prepared is None:
            if self._transaction is not None:
                await self.fail_transaction()
            return make_refusal(Outcome.UNKNOWN_STATEMENT, statement.name)
        return await self._run(statement, prepared.is_write)

    async def _run(self, statement, is_write):
        if self._transaction is None:
            return await self._run_autocommit(statement, is_write)
        refusal = await self._refuse_without_key()
        if refusal is not None:
            return refusal
        answer = await self._transaction.run(statement, is_write)
        if not answer.is_success:
            await self.fail_transaction()
        return answer

    async def _refuse_without_key(self):
        """Fail the transaction if its key no longer holds.

        Returns
        -------
        statements.Answer or None
            The refusal of the statement, None if the key still holds.
        """
        outcome = self._transaction.check_key()
        if outcome is None:
            return None
        await self.fail_transaction()
        return make_refusal(outcome, "the key no longer holds")

    async def _run_autocommit(self, statement, is_write):
        admission_result = await self._admission.admit()
        if admission_result.outcome is not None:
            return make_refusal(
                admission_result.outcome, admission_result.detail
            )
        answer = await self._autocommit.run(
            self, admission_result, statement, is_write
        )
        if is_write and answer.is_success:
            self.note_commit(admission_result.route.group, answer.position)
        return answer


def count_entry_bytes(name, text):
    """Return the bytes of a session value or prepared statement."""
    return ENTRY_BYTES + sys.getsizeof(name) + sys.getsizeof(text)


def make_refusal(outcome, detail):
    """Return the answer that refuses a statement."""
    return statements.Answer(outcome=outcome, detail=detail)
