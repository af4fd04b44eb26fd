"""A caller's session: its state, and what each statement does."""

import logging
import typing

from geraniumridge._internal.decisions import placement
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import statements
from geraniumridge._internal.proxy import admission
from geraniumridge._internal.proxy import single
from geraniumridge._internal.proxy import transaction
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

VERBS = registry.Registry("statement verb")

Outcome = statements.Outcome
State = statements.TransactionState
Verb = statements.Verb


class Prepared(typing.NamedTuple):
    """A prepared statement; `definition` is its kind and shape."""

    definition: str
    is_write: bool


class Session:
    """One caller connection.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    database : str
        What the caller connected to.
    key : str
        The caller's key.
    """

    def __init__(self, node, database, key):
        self._node = node
        self._admission = admission.Admission(node, database, key)
        self._single = single.SingleStatements(node)
        self._transaction = None
        self._has_failed = False
        self._marks = {}
        self.values = {}
        self.prepared = {}

    @property
    def state(self):
        """Transaction state that the caller is shown."""
        if self._has_failed:
            return State.FAILED
        return State.IDLE if self._transaction is None else State.OPEN

    @property
    def is_idle(self):
        """Whether no transaction is open."""
        return self.state is State.IDLE

    @property
    def idle_limit_s(self):
        """How long the caller may rest in a transaction, or None."""
        state = self._node.view.state
        if self._transaction is None or state is None:
            return None
        return state.idle_transaction_s

    def get_mark(self, group):
        """Return the `placement.SessionPosition` of a group, or None."""
        return self._marks.get(group)

    def note_commit(self, group, mark):
        """Note the position after a commit of the session."""
        if mark is not None:
            lead_term = self._node.get_lead_term(group)
            made = placement.SessionPosition(lead_term, mark)
            self._marks[group] = max(made, self._marks.get(group, made))

    def check_start(self):
        """Return the `Outcome` that refuses the session, or None."""
        return self._admission.check_start()

    async def execute(self, statement):
        """Run one statement and return its `statements.Answer`."""
        began_at = clock.now()
        ending = (Verb.ROLLBACK, Verb.COMMIT)
        if self._has_failed and statement.verb not in ending:
            answer = refuse(Outcome.MALFORMED, "the transaction has failed")
        else:
            answer = await VERBS.get(statement.verb)(self, statement)
        self._report(statement, answer, clock.now() - began_at)
        return answer._replace(state=self.state)

    def _report(self, statement, answer, took_s):
        """Count, measure and log a statement's end."""
        if answer.is_success and answer.digest is None:
            return
        measures = self._node.measures
        team = self._admission.team or admission.NO_TEAM
        if answer.is_success:
            measures.count("served")
            measures.record(team, statement.verb.value, took_s)
        else:
            reason = answer.outcome.value.replace(" ", "_")
            measures.count(f"refused:{reason}")
        logger.info(
            "statement",
            extra={
                "event": "served" if answer.is_success else "refused",
                "request": statement.id,
                "verb": statement.verb.value,
                "database": self._admission.database,
                "team": team,
                "outcome": answer.outcome and answer.outcome.value,
                "why": answer.detail,
                "took_ms": round(took_s * 1000, 1),
                "age_s": round(self._node.freshness.get_age(clock.now()), 2),
                "version": self._node.view.state.version,
            },
        )

    async def expire(self):
        """Roll back a transaction that rested for too long."""
        if self._transaction is not None:
            await self.close()
            self._has_failed = True

    async def close(self):
        """End the session; an open transaction is rolled back."""
        if self._transaction is not None:
            await self._transaction.roll_back()
            self._transaction = None

    @VERBS.register(Verb.SET)
    async def _set(self, statement):
        self.values[statement.name] = statement.detail
        return statements.Answer()

    @VERBS.register(Verb.PREPARE)
    async def _prepare(self, statement):
        self.prepared[statement.name] = Prepared(
            statement.detail, statement.is_write
        )
        return statements.Answer()

    @VERBS.register(Verb.DEALLOCATE)
    async def _deallocate(self, statement):
        if self.prepared.pop(statement.name, None) is None:
            return refuse(Outcome.UNKNOWN_STATEMENT, statement.name)
        return statements.Answer()

    @VERBS.register(Verb.BEGIN)
    async def _begin(self, statement):
        if self._transaction is not None:
            return refuse(Outcome.MALFORMED, "in a transaction already")
        grant = await self._admission.admit()
        if grant.outcome is not None:
            return refuse(grant.outcome, grant.detail)
        self._transaction = transaction.Transaction(
            self._node, self, grant, statement.is_read_only
        )
        return statements.Answer()

    @VERBS.register(Verb.COMMIT)
    async def _commit(self, statement):
        if self._has_failed:
            self._has_failed = False
            return refuse(Outcome.ROLLED_BACK, "the transaction had failed")
        if self._transaction is None:
            return refuse(Outcome.MALFORMED, "not in a transaction")
        ending, self._transaction = self._transaction, None
        return await ending.commit(statement)

    @VERBS.register(Verb.ROLLBACK)
    async def _roll_back(self, statement):
        if self._has_failed:
            self._has_failed = False
            return statements.Answer()
        if self._transaction is None:
            return refuse(Outcome.MALFORMED, "not in a transaction")
        ending, self._transaction = self._transaction, None
        await ending.roll_back()
        return statements.Answer()

    @VERBS.register(Verb.READ)
    async def _read(self, statement):
        return await self._run(statement, False)

    @VERBS.register(Verb.WRITE)
    async def _write(self, statement):
        return await self._run(statement, True)

    @VERBS.register(Verb.EXECUTE)
    async def _execute(self, statement):
        prepared = self.prepared.get(statement.name)
        if prepared is None:
            if self._transaction is not None:
                await self.expire()
            return refuse(Outcome.UNKNOWN_STATEMENT, statement.name)
        return await self._run(statement, prepared.is_write)

    async def _run(self, statement, is_write):
        if self._transaction is None:
            return await self._run_alone(statement, is_write)
        refused = self._admission.check_key()
        if refused is not None:
            await self.expire()
            return refuse(refused, "the key no longer holds")
        answer = await self._transaction.run(statement, is_write)
        if not answer.is_success:
            await self.expire()
        return answer

    async def _run_alone(self, statement, is_write):
        grant = await self._admission.admit()
        if grant.outcome is not None:
            return refuse(grant.outcome, grant.detail)
        answer = await self._single.run(self, grant, statement, is_write)
        if is_write and answer.is_success:
            self.note_commit(grant.route.group, answer.position)
        return answer


def refuse(outcome, detail):
    """Return the answer that refuses a statement."""
    return statements.Answer(outcome=outcome, detail=detail)
