"""One statement at one target, with what has to hold around it."""

import typing

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.ports import targets
from geraniumridge._internal.proxy import replay
from geraniumridge._internal.utils import clock

ROLLBACK_TIMEOUT_S = 0.5
"""Bound on ending a transaction before its connection is dropped."""


class Plan(typing.NamedTuple):
    """Where a statement runs.

    `minimum` is the position that the target's log must have reached;
    `is_primary` tells that the target is used as the group's primary.
    """

    target: typing.Any
    minimum: typing.Any
    is_primary: bool


class Work(typing.NamedTuple):
    """A statement and the session that it belongs to.

    `begin` is None outside a transaction, else whether the transaction
    only reads; `is_write` tells that its outcome may be kept.
    """

    session: typing.Any
    statement: statements.Statement
    route: typing.Any
    team: str
    is_write: bool
    begin: bool | None = None


class Result(typing.NamedTuple):
    """An answer, and the connection if a transaction is open on it."""

    answer: statements.Answer
    pooled: typing.Any
    epoch: int


class Runner:
    """Runs statements at targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node

    async def run(self, work, plan, timeout_s):
        """Run a statement on a connection from the pool.

        Parameters
        ----------
        work : Work
            The statement.
        plan : Plan
            Where it runs.
        timeout_s : float
            Bound on the whole attempt, in seconds.

        Returns
        -------
        Result
            Its connection is None unless a transaction is open on it.

        Raises
        ------
        exceptions.NotSentError
            If the target provably did not get the statement.
        exceptions.ConnectionLostError
            If it may have run without an answer.
        """
        pool = self._node.pools.get(plan.target.id)
        until = trio.current_time() + timeout_s
        pooled = await self._borrow(pool, work, plan, until)
        await self.prepare(pooled, work, until)
        if work.begin is not None:
            refused = await self._begin(pool, pooled, work, plan, until)
            if refused is not None:
                return Result(refused, None, 0)
        return await self.call(work, plan, pooled, until)

    async def prepare(self, pooled, work, until):
        """Replay session state; drops the connection if that fails.

        Raises
        ------
        exceptions.NotSentError
            If the connection cannot be used.
        """
        pool = self._node.pools.get(pooled.target.id)
        is_done = False
        try:
            with trio.move_on_at(until):
                await replay.replay(
                    self._node.dialect, pooled, work.session, work.statement
                )
                is_done = True
        except exceptions.ConnectionLostError as error:
            raise exceptions.NotSentError(str(error))
        finally:
            if not is_done:
                pool.load.note_failure(clock.now())
                pool.discard(pooled)
        if not is_done:
            raise exceptions.NotSentError(f"{pooled.target.id}: silent")

    async def call(self, work, plan, pooled, until, epoch=None):
        """Run a statement on a connection that is ready for it.

        The connection is given back or dropped unless a transaction
        stays open on it. `epoch` is that of the transaction.
        """
        if not plan.is_primary:
            return await self._call(work, plan, pooled, until, 0)
        guard = self._node.get_guard(work.route.group)
        try:
            self._check_primary(work, plan, guard, epoch)
        except exceptions.NotSentError:
            self._node.pools.get(plan.target.id).discard(pooled)
            raise
        current = guard.enter(plan.target.id)
        try:
            return await self._call(work, plan, pooled, until, current)
        finally:
            guard.leave()

    async def roll_back(self, pooled):
        """End a transaction and give its connection back."""
        pool = self._node.pools.get(pooled.target.id)
        text = self._node.dialect.rollback()
        with trio.move_on_after(ROLLBACK_TIMEOUT_S, shield=True):
            try:
                (answer,) = await pooled.link.call([targets.Call("", text)])
            except exceptions.ConnectionLostError:
                pool.discard(pooled)
                return
            self._settle(pool, pooled, answer)
            return
        pool.discard(pooled)

    async def _borrow(self, pool, work, plan, until):
        with trio.move_on_at(until):
            return await pool.borrow(plan.target, work.team)
        raise exceptions.NotSentError(
            f"{plan.target.id}: no connection in time"
        )

    async def _begin(self, pool, pooled, work, plan, until):
        """Begin a transaction; returns the answer if it is refused."""
        text = self._node.dialect.begin(work.begin)
        call = targets.Call("", text, plan.minimum)
        try:
            with trio.move_on_at(until):
                (answer,) = await pooled.link.call([call])
                if answer.is_success:
                    return None
                self._settle(pool, pooled, answer)
                return answer
        except exceptions.ConnectionLostError as error:
            pool.discard(pooled)
            raise exceptions.NotSentError(str(error))
        pool.load.note_failure(clock.now())
        pool.discard(pooled)
        raise exceptions.NotSentError(f"{plan.target.id}: silent")

    def _check_primary(self, work, plan, guard, epoch):
        now = clock.now()
        usable = self._node.primacy.find_usable_primary(work.route.group, now)
        if usable is None or usable.id != plan.target.id:
            raise exceptions.NotSentError(
                f"{plan.target.id}: may no longer be primary"
            )
        if epoch is not None and epoch != guard.epoch:
            raise exceptions.NotSentError(
                f"{plan.target.id}: primary was given up"
            )

    async def _call(self, work, plan, pooled, until, epoch):
        pool = self._node.pools.get(plan.target.id)
        minimum = plan.minimum if work.begin is None else None
        call = targets.Call(work.statement.id, work.statement.text, minimum)
        sent_at = clock.now()
        number = pool.load.begin(sent_at)
        answer = None
        try:
            with trio.move_on_at(until):
                (answer,) = await pooled.link.call([call])
        finally:
            pool.load.end(number, clock.now(), answer is not None)
            if answer is None:
                pool.discard(pooled)
        if answer is None:
            pool.load.note_failure(clock.now())
            if plan.is_primary and work.is_write:
                self._node.get_guard(work.route.group).note_stuck()
            raise exceptions.ConnectionLostError(f"{plan.target.id}: silent")
        pool.load.note_position(answer.position, clock.now())
        if plan.is_primary:
            answer = self._take_primary(work, answer, sent_at, epoch)
        if answer.state is statements.TransactionState.OPEN:
            return Result(answer, pooled, epoch)
        self._settle(pool, pooled, answer)
        return Result(answer, None, epoch)

    def _take_primary(self, work, answer, sent_at, epoch):
        """Check that a primary's answer still counts."""
        guard = self._node.get_guard(work.route.group)
        is_current = guard.epoch == epoch
        if is_current and answer.position is not None:
            marks = self._node.get_marks(work.route.group)
            marks.add(sent_at, answer.position)
        if answer.outcome is statements.Outcome.NOT_PRIMARY:
            guard.note_refused()
        if not work.is_write or not answer.is_success:
            return answer
        has_evidence = self._node.primacy.is_view_current(
            work.route.group, clock.now()
        )
        if not is_current or not has_evidence:
            return answer._replace(
                outcome=statements.Outcome.IN_DOUBT,
                detail="the primary was replaced meanwhile",
            )
        guard.note_kept()
        return answer

    def _settle(self, pool, pooled, answer):
        if answer.state is statements.TransactionState.IDLE:
            pool.give_back(pooled)
        else:
            pool.discard(pooled)
