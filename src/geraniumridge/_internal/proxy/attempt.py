"""One attempt to run a statement at one target.

An attempt acquires a connection, restores the session state on it and
checks, at a primary, before and after the statement that the target may
still be used as primary.
"""

import random
import typing

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.ports import targets
from geraniumridge._internal.proxy import session_state
from geraniumridge._internal.utils import clock

ROLLBACK_TIMEOUT_S = 0.5
"""Timeout of a rollback; its connection is closed if it takes longer."""


class Destination(typing.NamedTuple):
    """The target at which a statement runs.

    `min_position` is the log position that the target must have
    reached, or None; `is_primary` is whether the target is used as the
    group's primary.
    """

    target: typing.Any
    min_position: typing.Any
    is_primary: bool


class StatementContext(typing.NamedTuple):
    """A statement with the session, route and team that it runs for.

    `begin_read_only` is None unless the statement is the first of a
    transaction; then it is whether that transaction is read-only.
    `begins_operation` is false of the later statements of a transaction.
    `commits_writes` is whether a success commits writes: true of a
    single write and of the COMMIT of a transaction that wrote.
    """

    session: typing.Any
    statement: statements.Statement
    route: typing.Any
    team: str
    commits_writes: bool
    begin_read_only: bool | None = None
    begins_operation: bool = True


class AttemptResult(typing.NamedTuple):
    """The answer of an attempt.

    `connection` is None unless a transaction is open on it; `epoch` is
    the epoch of the primary in which the statement ran, else 0.
    """

    answer: statements.Answer
    connection: typing.Any
    epoch: int


class StatementRunner:
    """Runner of statements at targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node

    async def run(self, context, destination, timeout_s):
        """Run a statement on a connection from the pool.

        Parameters
        ----------
        context : StatementContext
            The statement.
        destination : Destination
            The target to run it at.
        timeout_s : float
            Timeout of the whole attempt, in seconds.

        Returns
        -------
        AttemptResult
            Its connection is None unless a transaction is open on it.

        Raises
        ------
        exceptions.NotSentError
            If the target certainly did not receive the statement.
        exceptions.ConnectionLostError
            If the statement may have run but no answer arrived.
        """
        pool = self._node.pools.get(destination.target.id)
        deadline = trio.current_time() + timeout_s
        connection = await self._acquire_connection(
            pool, context, destination, deadline
        )
        await self.restore_session(connection, context, deadline)
        if context.begin_read_only is not None:
            refused = await self._begin_transaction(
                pool, connection, context, destination, deadline
            )
            if refused is not None:
                return AttemptResult(refused, None, 0)
        return await self.run_on_connection(
            context, destination, connection, deadline
        )

    async def restore_session(self, connection, context, deadline):
        """Restore the session state on a connection.

        The connection is closed if that fails.

        Raises
        ------
        exceptions.NotSentError
            If the session state could not be restored.
        """
        pool = self._node.pools.get(connection.target.id)
        is_done = False
        is_target_silent = True
        try:
            with trio.move_on_at(deadline):
                await session_state.restore(
                    self._node.dialect,
                    connection,
                    context.session,
                    context.statement,
                )
                is_done = True
        except exceptions.ConnectionLostError as error:
            raise exceptions.NotSentError(str(error))
        except exceptions.NotSentError:
            is_target_silent = False
            raise
        finally:
            if not is_done:
                if is_target_silent:
                    pool.load.note_failure(clock.now())
                pool.discard(connection)
        if not is_done:
            raise exceptions.NotSentError(f"{connection.target.id}: silent")

    async def run_on_connection(
        self, context, destination, connection, deadline, epoch=None
    ):
        """Run a statement on a connection with its session state.

        The connection goes back to the pool or is closed, unless a
        transaction stays open on it. `epoch` is the epoch in which the
        transaction began, or None outside a transaction.
        """
        if context.session.check_key(context.route, context.team) is not None:
            # It was checked before the statement waited for a connection.
            self._node.pools.get(destination.target.id).discard(connection)
            raise exceptions.NotSentError("the key no longer holds")
        if not destination.is_primary:
            return await self._send_statement(
                context, destination, connection, deadline, 0
            )
        usage = self._node.get_primary_usage(context.route.group)
        try:
            self._check_primary(context, destination, usage, epoch)
        except exceptions.NotSentError:
            self._node.pools.get(destination.target.id).discard(connection)
            raise
        entered_epoch = usage.start_statement(destination.target.id)
        try:
            return await self._send_statement(
                context, destination, connection, deadline, entered_epoch
            )
        finally:
            usage.end_statement()

    async def roll_back(self, connection):
        """Roll back a transaction and release its connection.

        The connection is closed if the target does not answer in time.
        """
        pool = self._node.pools.get(connection.target.id)
        text = self._node.dialect.format_rollback()
        with trio.move_on_after(ROLLBACK_TIMEOUT_S, shield=True):
            try:
                (answer,) = await connection.link.call(
                    [targets.Call("", text)]
                )
            except (
                exceptions.ConnectionLostError,
                exceptions.NotSentError,
            ):
                pool.discard(connection)
                return
            self._return_connection(pool, connection, answer)
            return
        pool.discard(connection)

    async def _acquire_connection(self, pool, context, destination, deadline):
        with trio.move_on_at(deadline):
            return await pool.acquire(destination.target, context.team)
        raise exceptions.NotSentError(
            f"{destination.target.id}: no connection in time"
        )

    async def _begin_transaction(
        self, pool, connection, context, destination, deadline
    ):
        """Begin a transaction; return the answer if it is refused."""
        text = self._node.dialect.format_begin(context.begin_read_only)
        call = targets.Call(
            "",
            text,
            destination.min_position,
            requires_primary=destination.is_primary,
        )
        sent_at = clock.now()
        try:
            with trio.move_on_at(deadline):
                (answer,) = await connection.link.call([call])
                if answer.is_success:
                    return None
                _note_outcome(pool.load, answer, sent_at)
                self._return_connection(pool, connection, answer)
                return answer
        except (
            exceptions.ConnectionLostError,
            exceptions.NotSentError,
        ) as error:
            pool.discard(connection)
            raise exceptions.NotSentError(str(error))
        pool.load.note_failure(clock.now())
        pool.discard(connection)
        raise exceptions.NotSentError(f"{destination.target.id}: silent")

    def _check_primary(self, context, destination, usage, epoch):
        now = clock.now()
        usable = self._node.primary_resolver.find_usable_primary(
            context.route.group, now
        )
        if usable is None or usable.id != destination.target.id:
            raise exceptions.NotSentError(
                f"{destination.target.id}: may no longer be primary"
            )
        if epoch is not None and epoch != usage.epoch:
            raise exceptions.NotSentError(
                f"{destination.target.id}: primary was given up"
            )

    async def _send_statement(
        self, context, destination, connection, deadline, epoch
    ):
        pool = self._node.pools.get(destination.target.id)
        min_position = (
            destination.min_position
            if context.begin_read_only is None
            else None
        )
        rows = context.session.row_stream
        call = targets.Call(
            context.statement.id,
            context.statement.text,
            min_position,
            rows.send_rows,
            rows.hold_rows,
            destination.is_primary,
        )
        sent_at = clock.now()
        sent_revision = self._node.view.revision
        call_number = pool.load.begin(sent_at)
        usage_counter = None
        if context.begins_operation:
            usage_counter = self._node.usage_counter
        if usage_counter is not None:
            usage_counter.note_begun(context.team, sent_at)
        answer = None
        try:
            with trio.move_on_at(deadline) as scope:
                rows.extend_on_begin(
                    scope, rows.started_at + context.route.timeout_s
                )
                (answer,) = await connection.link.call([call])
        except exceptions.ConnectionLostError as error:
            _check_not_begun(rows, str(error))
            raise
        except exceptions.NotSentError:
            if usage_counter is not None:
                usage_counter.note_refused(context.team, sent_at)
            raise
        finally:
            pool.load.end(call_number, clock.now(), answer is not None)
            if answer is None:
                pool.discard(connection)
        if answer is None:
            _check_not_begun(rows, "timed out")
            pool.load.note_failure(clock.now())
            if destination.is_primary and context.commits_writes:
                self._node.get_primary_usage(
                    context.route.group
                ).note_unanswered_write()
            raise exceptions.ConnectionLostError(
                f"{destination.target.id}: silent"
            )
        is_refused = answer.outcome in statements.NOT_EXECUTED
        if usage_counter is not None and is_refused:
            usage_counter.note_refused(context.team, sent_at)
        if not answer.is_success and rows.has_begun:
            pool.discard(connection)
            _check_not_begun(rows, answer.outcome.value)
        pool.load.note_position(answer.position, clock.now())
        _note_outcome(pool.load, answer, sent_at)
        if destination.is_primary:
            answer = self._check_primary_answer(
                context, answer, sent_at, sent_revision, epoch
            )
            self._node.position_exchange.notify_keeper(context.route.group)
        if answer.state is statements.TransactionState.OPEN:
            return AttemptResult(answer, connection, epoch)
        self._return_connection(pool, connection, answer)
        return AttemptResult(answer, None, epoch)

    def _check_primary_answer(
        self, context, answer, sent_at, sent_revision, epoch
    ):
        """Return a primary's answer, checked against a change of primary.

        `sent_revision` is the revision of the view when it was sent.
        A successful write becomes IN_DOUBT if the epoch in which it was
        sent has ended, or if the VM can no longer prove that the target
        was primary.
        """
        group = context.route.group
        usage = self._node.get_primary_usage(group)
        is_current = usage.epoch == epoch
        is_commit = context.commits_writes and answer.is_success
        if is_current and answer.position is not None:
            positions = self._node.get_log_positions(group)
            positions.add(sent_at, answer.position)
        if is_current and is_commit:
            commits = self._node.get_acknowledged_commits(group)
            commits.note_commit(
                answer.position,
                sent_at,
                sent_revision,
                self._node.view.last_run_end,
            )
        if answer.outcome is statements.Outcome.NOT_PRIMARY:
            usage.note_not_primary()
        if not is_commit:
            return answer
        may_use_primary = self._node.primary_resolver.may_use_primary(
            group, clock.now()
        )
        if not is_current or not may_use_primary:
            return answer._replace(
                outcome=statements.Outcome.IN_DOUBT,
                detail="the primary was replaced meanwhile",
            )
        usage.note_successful_write()
        return answer

    def _return_connection(self, pool, connection, answer):
        if answer.state is statements.TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)


def _check_not_begun(rows, reason):
    """Check that no row of a failed answer has been passed on.

    Raises
    ------
    exceptions.AnswerInterruptedError
        If one has, so that the statement cannot run at another target.
    """
    if rows.has_begun:
        raise exceptions.AnswerInterruptedError(reason)


def _note_outcome(load, answer, sent_at):
    """Note whether a target is overloaded, by its answer."""
    if answer.outcome is statements.Outcome.OVERLOADED:
        load.note_overloaded(sent_at, clock.now(), random.random())
    elif answer.is_success:
        load.note_accepted()
