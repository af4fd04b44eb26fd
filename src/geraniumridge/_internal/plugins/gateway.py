"""Run statements and transactions on the targets that a VM owns.

The VM that owns a target is the target's gateway: the one VM of the
target's failure domain that sends it statements.
"""

import logging
import secrets

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.models import records
from geraniumridge._internal.network import targets
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import target_executor

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.5
"""Interval of the checks for expired transactions.

Also bounds how late a change of the configured targets is noticed.
"""

DRAIN_POLL_INTERVAL_S = 0.02
"""Interval of the checks whether a graceful stop may go on."""

LAST_ANSWERS_WAIT_S = 0.1
"""Delay after the last statement, so that its answer is written."""

CONFIRM_POLL_INTERVAL_S = 0.25
"""Bounds one wait for a replica or for a change of the terms.

Afterwards the answer is checked again, as a later term may have begun.
"""

STATEMENT_ACTIONS = registry.Registry("statement action")
"""Methods of `Gateway` by the action in a `Statement` message."""


class Transaction:
    """Open transaction with its connection, slot, team and term."""

    def __init__(self, executor, connection, statement, term, now):
        self.executor = executor
        self.connection = connection
        self.team = statement.team
        self.group = statement.group
        self.target = statement.target
        self.key_hash = statement.key_hash
        self.term = term
        self.began_at = now
        self.used_at = now
        self.lock = trio.Lock()
        self.is_open = True


@registry.PLUGINS.register("gateway")
class Gateway(kernel.Plugin):
    """Execution of statements on the targets that this VM owns."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._executors = {}
        self._transactions = {}
        self._running_count = 0
        self._is_draining = False

    async def start(self, nursery):
        """Register the message handlers and start the tasks."""
        self._metrics = self._kernel.get("metrics")
        self._membership = self._kernel.get("membership")
        self._configuration = self._kernel.get("configuration")
        self._terms = self._kernel.get("terms")
        peers = self._kernel.get("peers")
        peers.handle(wire.messages.Statement, self.run_statement)
        peers.handle(wire.messages.Probe, self._answer_probe)
        peers.handle(wire.messages.Promote, self._answer_promote)
        peers.handle(wire.messages.Await, self._answer_await)
        nursery.start_soon(self._close_expired_transactions)
        nursery.start_soon(self._maintain_executors, nursery)

    async def drain(self):
        """Let the transactions end, hand over the targets, then finish.

        New transactions are refused at once, while the open ones go on.
        Single statements run until another VM owns the targets.
        """
        self._is_draining = True
        while self._transactions:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._membership.leave_cell()
        while self._running_count:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        # The last answers may not have been written yet.
        await trio.sleep(LAST_ANSWERS_WAIT_S)

    async def run_statement(self, statement):
        """Run one step of a request and return a `StatementAnswer`.

        Raises
        ------
        exceptions.RequestError
            If it failed; `executed` says whether the target ran it.
        """
        self._running_count += 1
        try:
            return await STATEMENT_ACTIONS.get(statement.action)(
                self, statement
            )
        finally:
            self._running_count -= 1

    def list_silent(self, names):
        """Return the targets of `names` that are owned and do not answer."""
        now = trio.current_time()
        return [
            name
            for name in names
            if name in self._executors and self._executors[name].is_silent(now)
        ]

    def get_state(self):
        """Return the state of the owned targets for the status page."""
        return {
            name: executor.get_state()
            for name, executor in self._executors.items()
        }

    @STATEMENT_ACTIONS.register("statement")
    async def _run_single_statement(self, statement):
        executor = self._find_executor(statement.group, statement.target)
        executor.check_answering()
        deadline = trio.current_time() + statement.deadline_ms / 1000
        async with executor.hold_slot(
            statement.team, statement.weight, deadline
        ) as wait_s:
            term = self._require_confirmed_term(statement)
            body = _make_body(statement, term)
            answer = await executor.run("/statement", body)
        if statement.is_write or statement.is_primary:
            await self._confirm_answer(statement, answer, deadline)
        return _make_answer(answer, wait_s)

    @STATEMENT_ACTIONS.register("begin")
    async def _begin(self, statement):
        if self._is_draining:
            raise exceptions.StoppingError("this VM is stopping")
        executor = self._find_executor(statement.group, statement.target)
        executor.check_answering()
        now = trio.current_time()
        deadline = now + statement.deadline_ms / 1000
        wait_s = await executor.acquire_slot(
            statement.team, statement.weight, deadline
        )
        connection = None
        try:
            term = self._require_confirmed_term(statement)
            connection = await executor.acquire_connection()
            body = _make_body(statement, term)
            answer = await executor.run_on_connection(
                connection, "/begin", body
            )
        except BaseException:
            if connection is not None:
                await executor.release_connection(connection)
            executor.release_slot()
            raise
        transaction = Transaction(executor, connection, statement, term, now)
        name = f"{self._settings.vm.name}~{secrets.token_hex(12)}"
        self._transactions[name] = transaction
        return _make_answer(answer, wait_s, name)

    @STATEMENT_ACTIONS.register("step")
    async def _run_transaction_step(self, statement):
        transaction = self._find_transaction(statement)
        async with transaction.lock:
            _check_open(transaction)
            body = _make_body(statement, transaction.term)
            try:
                answer = await self._run_on_connection(
                    transaction, "/statement", body
                )
            except exceptions.OutcomeUnknownError as error:
                # The transaction was not committed, so closing its
                # connection undoes all of it.
                await self._close_transaction(statement.transaction)
                error.executed = "rolled back"
                raise
        transaction.used_at = trio.current_time()
        return _make_answer(answer, 0.0)

    @STATEMENT_ACTIONS.register("commit")
    async def _commit(self, statement):
        transaction = self._find_transaction(statement)
        deadline = trio.current_time() + statement.deadline_ms / 1000
        async with transaction.lock:
            _check_open(transaction)
            statement.group = transaction.group
            statement.target = transaction.target
            term = transaction.term
            now = trio.current_time()
            if not self._terms.evidence.may_acknowledge(
                statement.group, term, now
            ):
                await self._close_transaction(statement.transaction)
                error = exceptions.UnavailableError(
                    "the primary's term cannot be confirmed; rolled back"
                )
                error.executed = "rolled back"
                raise error
            body = _make_body(statement, term)
            try:
                answer = await self._run_on_connection(
                    transaction, "/commit", body
                )
            finally:
                await self._close_transaction(statement.transaction)
            await self._confirm_answer(statement, answer, deadline)
        return _make_answer(answer, 0.0)

    @STATEMENT_ACTIONS.register("rollback")
    async def _rollback(self, statement):
        transaction = self._find_transaction(statement)
        async with transaction.lock:
            if transaction.is_open:
                await self._close_transaction(statement.transaction)
        return wire.messages.StatementAnswer(body=b"{}", term=0, position=0)

    async def _run_on_connection(self, transaction, path, body):
        return await transaction.executor.run_on_connection(
            transaction.connection, path, body
        )

    async def _close_transaction(self, name):
        """Close a transaction; what it has not committed is rolled back."""
        transaction = self._transactions.pop(name, None)
        if transaction is None:
            return
        transaction.is_open = False
        with trio.CancelScope(shield=True):
            await transaction.connection.close()
            await transaction.executor.release_connection(
                transaction.connection
            )
        transaction.executor.release_slot()

    def _find_transaction(self, statement):
        transaction = self._transactions.get(statement.transaction)
        # Other teams get the same answer as for an unknown transaction.
        if transaction is None or transaction.team != statement.team:
            raise exceptions.NotFoundError(
                "no such transaction; it ended or was rolled back"
            )
        return transaction

    async def _close_expired_transactions(self):
        limits = self._settings.limits
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now = trio.current_time()
            for name, transaction in list(self._transactions.items()):
                is_idle = now - transaction.used_at > limits.transaction_idle_s
                is_too_old = (
                    now - transaction.began_at > limits.transaction_total_s
                )
                current_team = self._configuration.find_team(
                    transaction.key_hash
                )
                if is_idle or is_too_old or current_team != transaction.team:
                    self._metrics.count("transactions_expired")
                    async with transaction.lock:
                        await self._close_transaction(name)

    def _find_executor(self, group, target):
        name = config.make_target_name(group, target)
        executor = self._executors.get(name)
        if executor is None or not self._membership.owns(name):
            raise exceptions.MisroutedError(
                f"this VM is not the gateway of {name}"
            )
        return executor

    def _require_confirmed_term(self, statement):
        """Return the term to run a statement in, 0 on a replica.

        Raises
        ------
        exceptions.MisroutedError
            If the target is not the primary any more.
        exceptions.UnavailableError
            If it cannot be confirmed that no later term is in force.
        """
        if not statement.is_write and not statement.is_primary:
            return 0
        group_term = self._terms.evidence.get_group(statement.group)
        now = trio.current_time()
        if group_term is None or group_term.primary != statement.target:
            raise exceptions.MisroutedError("the primary has changed")
        if not self._terms.evidence.may_acknowledge(
            statement.group, group_term.term, now
        ):
            raise exceptions.UnavailableError(
                "the primary's term cannot be confirmed"
            )
        return group_term.term

    async def _confirm_answer(self, statement, answer, deadline):
        """Return once an answer of the primary may be sent.

        That is the case while its term is confirmed to be in force and,
        for a write, a replica holds the write; or once a later term in
        force has inherited the write.

        Raises
        ------
        exceptions.OutcomeUnknownError
            If that is not the case by the deadline, or if a later term
            has lost the write.
        """
        group = statement.group
        log_position = records.LogPosition(answer["term"], answer["position"])
        needs_replica = statement.is_write and not answer.get("replayed")
        is_replicated = not needs_replica
        while True:
            if self._is_inherited(group, log_position):
                return
            step_deadline = min(
                deadline, trio.current_time() + CONFIRM_POLL_INTERVAL_S
            )
            is_replicated = is_replicated or await self._wait_for_replica(
                statement, log_position, step_deadline
            )
            now = trio.current_time()
            if is_replicated and self._terms.evidence.may_acknowledge(
                group, log_position.term, now
            ):
                return
            if now >= deadline:
                break
            if is_replicated:
                await self._terms.wait_changed(CONFIRM_POLL_INTERVAL_S)
        self._metrics.count("answers_withheld")
        reason = "the primary's term could not be confirmed"
        if not is_replicated:
            reason = "no replica confirmed the write in time"
        raise exceptions.OutcomeUnknownError(reason)

    def _is_inherited(self, group, log_position):
        """Return whether a later term has inherited a log position.

        Raises
        ------
        exceptions.OutcomeUnknownError
            If a later term began before the position.
        """
        group_term = self._terms.evidence.get_group(group)
        if group_term is None or group_term.term <= log_position.term:
            return False
        if group_term.is_lost(log_position):
            raise exceptions.OutcomeUnknownError(
                "the request ran on a former primary"
            )
        return True

    async def _wait_for_replica(self, statement, log_position, deadline):
        group_entry = self._configuration.document.groups.get(statement.group)
        if group_entry is None:
            return False
        replicas = group_entry.list_acknowledging_replicas(statement.target)
        if not replicas:
            return True
        durability = self._kernel.get("durability")
        return await durability.wait_for_replica(
            statement.group, replicas, log_position, deadline
        )

    async def _maintain_executors(self, nursery):
        """Keep one executor for each target that this VM owns."""
        while True:
            wanted = dict(self._list_owned_targets())
            for name in self._executors.keys() - wanted.keys():
                executor = self._executors.pop(name)
                nursery.start_soon(executor.close)
            for name, target_entry in wanted.items():
                executor = self._executors.get(name)
                if (
                    executor is not None
                    and executor.target_entry == target_entry
                ):
                    continue
                if executor is not None:
                    nursery.start_soon(executor.close)
                self._executors[name] = target_executor.TargetExecutor(
                    name, target_entry, self._settings
                )
                nursery.start_soon(self._executors[name].run_probes)
            await self._membership.wait_changed(SWEEP_INTERVAL_S)

    def _list_owned_targets(self):
        domain = self._settings.vm.domain
        for group, group_entry in self._configuration.document.groups.items():
            for target, target_entry in group_entry.targets.items():
                name = config.make_target_name(group, target)
                if target_entry.domain == domain and self._membership.owns(
                    name
                ):
                    yield name, target_entry

    async def _answer_probe(self, message):
        for name in message.targets:
            if not self._membership.owns(name):
                raise exceptions.MisroutedError(f"not the gateway of {name}")
        return wire.messages.ProbeAnswer(
            down=self.list_silent(message.targets)
        )

    async def _answer_promote(self, message):
        executor = self._find_executor(message.group, message.target)
        try:
            status = await targets.call_control(
                executor.target_entry.address,
                f"/{message.action}",
                {"term": message.term},
            )
        except exceptions.NetworkError as error:
            raise exceptions.UnavailableError(str(error))
        return _make_status(status)

    async def _answer_await(self, message):
        executor = self._find_executor(message.group, message.target)
        return _make_status(await executor.wait_for_position(message))


def _check_open(transaction):
    if not transaction.is_open:
        raise exceptions.NotFoundError("the transaction was rolled back")


def _make_body(statement, term):
    """Return the request to a target; it never contains an API key."""
    return {
        "request_id": statement.request_id,
        "mode": "write" if statement.is_write else "read",
        "primary": bool(statement.is_primary),
        "sql": statement.sql or "",
        "params": msgspec.json.decode(statement.params or "[]"),
        "term": term,
        "min_term": statement.min_term or 0,
        "min_position": statement.min_position or 0,
        "max_age_ms": (
            -1 if statement.max_age_ms is None else statement.max_age_ms
        ),
        "idempotency_key": statement.idempotency_key or "",
    }


def _make_status(status):
    return wire.messages.PromoteAnswer(
        term=status.term,
        position=status.position,
        is_primary=status.is_primary,
    )


def _make_answer(answer, wait_s, transaction=""):
    return wire.messages.StatementAnswer(
        body=msgspec.json.encode(answer),
        term=answer["term"],
        position=answer["position"],
        queue_us=int(wait_s * 1e6),
        transaction=transaction,
    )
