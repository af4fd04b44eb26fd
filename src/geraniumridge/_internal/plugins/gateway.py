"""Gateway: owns the connections and slots of its targets."""

import logging
import secrets

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import records
from geraniumridge._internal.network import targets
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import target_gate

logger = logging.getLogger(__name__)

TRANSACTION_SWEEP_S = 0.5
STOP_POLL_S = 0.02
FLUSH_S = 0.1
CONFIRM_STEP_S = 0.25

ACTIONS = registry.Registry("statement action")


class Transaction:
    """An open transaction: its connection, slot and owner."""

    def __init__(self, gate, client, statement, term, now):
        self.gate = gate
        self.client = client
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
    """Runs statements on the targets that this VM owns."""

    def __init__(self, owner):
        super().__init__(owner)
        self._gates = {}
        self._transactions = {}
        self._running = 0
        self._is_draining = False

    async def start(self, nursery):
        """Register the calls and start the sweep of transactions."""
        self._metrics = self._kernel.get("metrics")
        self._membership = self._kernel.get("membership")
        self._configuration = self._kernel.get("configuration")
        self._terms = self._kernel.get("terms")
        peers = self._kernel.get("peers")
        peers.handle(wire.messages.Statement, self.run_statement)
        peers.handle(wire.messages.Probe, self._answer_probe)
        peers.handle(wire.messages.Promote, self._answer_promote)
        peers.handle(wire.messages.Await, self._answer_await)
        nursery.start_soon(self._sweep_transactions)
        nursery.start_soon(self._run_gates, nursery)

    async def drain(self):
        """End the transactions, hand the targets over, finish the rest.

        Statements go on until another VM owns the targets; only new
        transactions are refused, so that the open ones come to an end.
        """
        self._is_draining = True
        while self._transactions:
            await trio.sleep(STOP_POLL_S)
        await self._membership.leave_cell()
        while self._running:
            await trio.sleep(STOP_POLL_S)
        # The last answers may still wait to be written.
        await trio.sleep(FLUSH_S)

    async def run_statement(self, statement):
        """Run one step of a request and return a `StatementAnswer`.

        Raises
        ------
        exceptions.RequestError
            Saying whether the target ran it.
        """
        self._running += 1
        try:
            return await ACTIONS.get(statement.action)(self, statement)
        finally:
            self._running -= 1

    def list_down(self, names):
        """Return those of some owned targets that do not answer."""
        now = trio.current_time()
        return [
            name
            for name in names
            if name in self._gates and self._gates[name].is_down(now)
        ]

    def get_state(self):
        """Return the owned targets for the status page."""
        return {name: gate.get_state() for name, gate in self._gates.items()}

    @ACTIONS.register("statement")
    async def _run_single(self, statement):
        gate = self._find_gate(statement.group, statement.target)
        gate.check_answering()
        deadline = trio.current_time() + statement.deadline_ms / 1000
        async with gate.slot(
            statement.team, statement.weight, deadline
        ) as wait:
            term = self._check_authority(statement)
            body = _make_body(statement, term)
            answer = await gate.run("/statement", body)
        if statement.is_write or statement.is_primary:
            await self._confirm(statement, answer, deadline)
        return _make_answer(answer, wait)

    @ACTIONS.register("begin")
    async def _begin(self, statement):
        if self._is_draining:
            raise exceptions.StoppingError("this VM is stopping")
        gate = self._find_gate(statement.group, statement.target)
        gate.check_answering()
        now = trio.current_time()
        deadline = now + statement.deadline_ms / 1000
        wait = await gate.enter(statement.team, statement.weight, deadline)
        client = None
        try:
            term = self._check_authority(statement)
            client = await gate.acquire()
            body = _make_body(statement, term)
            answer = await gate.run_on(client, "/begin", body)
        except BaseException:
            if client is not None:
                await gate.release(client)
            gate.leave()
            raise
        transaction = Transaction(gate, client, statement, term, now)
        name = f"{self._settings.vm.name}~{secrets.token_hex(12)}"
        self._transactions[name] = transaction
        return _make_answer(answer, wait, name)

    @ACTIONS.register("step")
    async def _run_step(self, statement):
        transaction = self._find_transaction(statement)
        async with transaction.lock:
            _check_open(transaction)
            body = _make_body(statement, transaction.term)
            try:
                answer = await self._run_in(transaction, "/statement", body)
            except exceptions.OutcomeUnknownError as error:
                # Without its commit nothing of the transaction lasts.
                await self._end(statement.transaction)
                error.executed = "rolled back"
                raise
        transaction.used_at = trio.current_time()
        return _make_answer(answer, 0.0)

    @ACTIONS.register("commit")
    async def _commit(self, statement):
        transaction = self._find_transaction(statement)
        deadline = trio.current_time() + statement.deadline_ms / 1000
        async with transaction.lock:
            _check_open(transaction)
            statement.group = transaction.group
            statement.target = transaction.target
            term = transaction.term
            now = trio.current_time()
            if not self._terms.authority.holds(statement.group, term, now):
                await self._end(statement.transaction)
                error = exceptions.UnavailableError(
                    "the primary's term cannot be confirmed; rolled back"
                )
                error.executed = "rolled back"
                raise error
            body = _make_body(statement, term)
            try:
                answer = await self._run_in(transaction, "/commit", body)
            finally:
                await self._end(statement.transaction)
            await self._confirm(statement, answer, deadline)
        return _make_answer(answer, 0.0)

    @ACTIONS.register("rollback")
    async def _rollback(self, statement):
        transaction = self._find_transaction(statement)
        async with transaction.lock:
            if transaction.is_open:
                await self._end(statement.transaction)
        return wire.messages.StatementAnswer(body=b"{}", term=0, position=0)

    async def _run_in(self, transaction, path, body):
        return await transaction.gate.run_on(transaction.client, path, body)

    async def _end(self, name):
        """Close a transaction's connection, which rolls it back."""
        transaction = self._transactions.pop(name, None)
        if transaction is None:
            return
        transaction.is_open = False
        with trio.CancelScope(shield=True):
            await transaction.client.close()
            await transaction.gate.release(transaction.client)
        transaction.gate.leave()

    def _find_transaction(self, statement):
        transaction = self._transactions.get(statement.transaction)
        # Another team learns nothing, not even that it exists.
        if transaction is None or transaction.team != statement.team:
            raise exceptions.NotFoundError(
                "no such transaction; it ended or was rolled back"
            )
        return transaction

    async def _sweep_transactions(self):
        limits = self._settings.limits
        while True:
            await trio.sleep(TRANSACTION_SWEEP_S)
            now = trio.current_time()
            for name, item in list(self._transactions.items()):
                idle = now - item.used_at > limits.transaction_idle_s
                old = now - item.began_at > limits.transaction_total_s
                known = self._configuration.find_team(item.key_hash)
                if idle or old or known != item.team:
                    self._metrics.count("transactions_expired")
                    async with item.lock:
                        await self._end(name)

    def _find_gate(self, group, target):
        name = f"{group}/{target}"
        gate = self._gates.get(name)
        if gate is None or not self._membership.owns(name):
            raise exceptions.MisroutedError(
                f"this VM is not the gateway of {name}"
            )
        return gate

    def _check_authority(self, statement):
        """Return the term that may be acknowledged, 0 for a replica."""
        if not statement.is_write and not statement.is_primary:
            return 0
        known = self._terms.authority.get_group(statement.group)
        now = trio.current_time()
        if known is None or known.primary != statement.target:
            raise exceptions.MisroutedError("the primary has changed")
        if not self._terms.authority.holds(statement.group, known.term, now):
            raise exceptions.UnavailableError(
                "the primary's term cannot be confirmed"
            )
        return known.term

    async def _confirm(self, statement, answer, deadline):
        """Let an answer of the primary pass, or say it is unknown.

        It passes while its term is known to be in force and, for a
        write, a replica holds it; or once a later term that took the
        write over is in force.
        """
        group = statement.group
        mark = records.LogPosition(answer["term"], answer["position"])
        needs_replica = statement.is_write and not answer.get("replayed")
        held = not needs_replica
        while True:
            if self._is_taken_over(group, mark):
                return
            until = min(deadline, trio.current_time() + CONFIRM_STEP_S)
            held = held or await self._wait_replica(statement, mark, until)
            now = trio.current_time()
            if held and self._terms.authority.holds(group, mark.term, now):
                return
            if now >= deadline:
                break
            if held:
                await self._terms.wait_changed(CONFIRM_STEP_S)
        self._metrics.count("answers_withheld")
        reason = "the primary's term could not be confirmed"
        if not held:
            reason = "no replica confirmed the write in time"
        raise exceptions.OutcomeUnknownError(reason)

    def _is_taken_over(self, group, mark):
        """Tell whether a later term in force has taken a mark over.

        Raises
        ------
        exceptions.OutcomeUnknownError
            If a later term began before the mark.
        """
        known = self._terms.authority.get_group(group)
        if known is None or known.term <= mark.term:
            return False
        if known.is_lost(mark):
            raise exceptions.OutcomeUnknownError(
                "the request ran on a former primary"
            )
        return True

    async def _wait_replica(self, statement, mark, deadline):
        group = self._configuration.document.groups.get(statement.group)
        if group is None:
            return False
        targets = group.list_acknowledging_replicas(statement.target)
        if not targets:
            return True
        durability = self._kernel.get("durability")
        return await durability.wait(statement.group, targets, mark, deadline)

    async def _run_gates(self, nursery):
        """Keep one gate for each target that this VM owns."""
        while True:
            wanted = dict(self._list_owned())
            for name in self._gates.keys() - wanted.keys():
                gate = self._gates.pop(name)
                nursery.start_soon(gate.close)
            for name, entry in wanted.items():
                gate = self._gates.get(name)
                if gate is not None and gate.entry == entry:
                    continue
                if gate is not None:
                    nursery.start_soon(gate.close)
                self._gates[name] = target_gate.TargetGate(
                    name, entry, self._settings
                )
                nursery.start_soon(self._gates[name].run_probe)
            await self._membership.wait_changed(TRANSACTION_SWEEP_S)

    def _list_owned(self):
        domain = self._settings.vm.domain
        for group, entry in self._configuration.document.groups.items():
            for target, item in entry.targets.items():
                name = f"{group}/{target}"
                if item.domain == domain and self._membership.owns(name):
                    yield name, item

    async def _answer_probe(self, message):
        for name in message.targets:
            if not self._membership.owns(name):
                raise exceptions.MisroutedError(f"not the gateway of {name}")
        return wire.messages.ProbeAnswer(down=self.list_down(message.targets))

    async def _answer_promote(self, message):
        gate = self._find_gate(message.group, message.target)
        try:
            status = await targets.call_control(
                gate.entry.address,
                f"/{message.action}",
                {"term": message.term},
            )
        except exceptions.NetworkError as error:
            raise exceptions.UnavailableError(str(error))
        return _make_status(status)

    async def _answer_await(self, message):
        gate = self._find_gate(message.group, message.target)
        return _make_status(await gate.wait_mark(message))


def _check_open(transaction):
    if not transaction.is_open:
        raise exceptions.NotFoundError("the transaction was rolled back")


def _make_body(statement, term):
    """Return a target's request; no key of a caller is ever in it."""
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
