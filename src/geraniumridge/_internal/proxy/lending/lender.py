"""Connections of this VM that other VMs use for a while.

The lender passes bytes between the borrower and the target. The borrower
makes all decisions about its statement; the lender checks again what may have
changed on the way: the statement's age, and that the target may still be used
as primary.
"""

import logging

import trio

from geraniumridge._internal.decisions import connection_lending
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import loan_channel
from geraniumridge._internal.network import peer_messages as messages
from geraniumridge._internal.network import streams
from geraniumridge._internal.proxy.lending import session_entries
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

MAX_LOAN_TIMEOUT_S = 1.0
"""Longest wait for a connection that a borrower may ask for."""


class _Loan:
    """One connection while it is lent."""

    def __init__(self, channel, connection, granted_at):
        self.channel = channel
        self.connection = connection
        self.clock = connection_lending.ForwardClock(granted_at)
        self.is_returned = False
        self.running_usage = None

    def start_statement(self, usage):
        """Count a statement at the primary until it is answered."""
        self.end_statement()
        usage.start_statement(self.connection.target.id)
        self.running_usage = usage

    def end_statement(self):
        """Count the end of the statement, if one is running."""
        if self.running_usage is not None:
            self.running_usage.end_statement()
            self.running_usage = None


class Lender:
    """Serves the loan channels of other VMs.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    directory : proxy.lending.directory.LenderDirectory
        Finds the lenders of a target.
    """

    def __init__(self, node, directory):
        self._node = node
        self._directory = directory
        self._is_stopping = False
        self._active = 0
        self._idle = trio.Event()
        self._idle.set()

    async def start(self, nursery):
        """Listen for loan channels at the address for peers.

        Raises
        ------
        exceptions.NetworkError
            If the address cannot be bound.
        """
        await streams.serve(
            nursery, self._node.settings.peer_address, self._serve
        )

    def stop(self):
        """Lend no further connections."""
        self._is_stopping = True

    async def wait_idle(self):
        """Wait until no connection is lent."""
        await self._idle.wait()

    async def _serve(self, stream):
        channel = loan_channel.LoanChannel(stream.socket)
        try:
            while channel.is_open:
                request = await channel.receive_message(messages.LoanRequest)
                if request is None:
                    return
                await self._serve_request(channel, request)
        except exceptions.ConnectionLostError:
            # The borrower has closed the channel or lost it.
            pass
        except Exception:
            logger.exception("loan channel failed", extra={"event": "fault"})
        finally:
            channel.abort()

    async def _serve_request(self, channel, request):
        target = self._find_target(request)
        if target is None:
            await channel.send_message(_make_refusal(is_lender=False))
            return
        pool = self._node.pools.get(target.id)
        try:
            connection = await self._acquire(pool, target, request)
        except exceptions.NetworkError as error:
            outcome = getattr(error, "outcome", None)
            await channel.send_message(
                _make_refusal(str(error), outcome.value if outcome else "")
            )
            return
        self._start_loan()
        loan = _Loan(channel, connection, clock.now())
        try:
            await self._run_loan(loan)
        finally:
            loan.end_statement()
            if loan.is_returned:
                pool.release(connection)
            else:
                pool.discard(connection)
            self._end_loan()

    def _find_target(self, request):
        """Return the requested target, None if this VM does not lend it."""
        if self._is_stopping:
            return None
        target = self._node.view.targets.get(request.target)
        if target is None or target.started_ms != request.started_ms:
            return None
        is_lender = self._node.settings.vm.name in self._directory.find(target)
        return target if is_lender else None

    async def _acquire(self, pool, target, request):
        timeout_s = min(MAX_LOAN_TIMEOUT_S, max(0, request.timeout_ms) / 1000)
        with trio.move_on_after(timeout_s):
            return await pool.acquire(target, request.team, may_borrow=False)
        raise exceptions.NotSentError(f"{target.id}: no connection in time")

    async def _run_loan(self, loan):
        grant = messages.LoanGrant(
            is_granted=True,
            is_lender=True,
            outcome="",
            detail="",
            values=session_entries.encode(loan.connection.values),
            prepared=session_entries.encode(loan.connection.prepared),
        )
        await loan.channel.send_message(grant)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_answers, loan)
            await self._pass_statements(loan)
            nursery.cancel_scope.cancel()

    async def _pass_statements(self, loan):
        """Pass frames of the borrower on until the loan ends."""
        try:
            while not loan.is_returned:
                frame = await loan.channel.receive()
                if frame is None or not await self._pass_frame(loan, *frame):
                    loan.channel.abort()
                    return
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.NetworkError,
        ):
            loan.channel.abort()

    async def _pass_frame(self, loan, kind, payload):
        """Handle a frame; return whether the loan may go on."""
        if kind is loan_channel.FrameKind.RETURN:
            returned = loan_channel.decode_message(kind, payload)
            loan.connection.values = session_entries.decode(returned.values)
            loan.connection.prepared = session_entries.decode(
                returned.prepared
            )
            loan.is_returned = True
            return True
        if kind is not loan_channel.FrameKind.DATA:
            return False
        statements = loan_channel.decode_statements(payload)
        why = self._find_objection(loan, statements)
        if why is not None:
            self._node.metrics.count("loans:not_passed_on")
            await loan.channel.send_message(messages.LoanExpired(reason=why))
            return False
        await loan.connection.link.transport.send(statements.data)
        return True

    def _find_objection(self, loan, statements):
        """Return why statements must not be passed on, or None."""
        now = clock.now()
        if loan.clock.is_too_old(statements.elapsed_s, now):
            return "it took too long to the lender"
        if not statements.is_primary:
            return None
        target = loan.connection.target
        usable = self._node.primary_resolver.find_usable_primary(
            target.group, now
        )
        if usable is None or usable.id != target.id:
            return "the lender may not use the primary"
        loan.start_statement(self._node.get_primary_usage(target.group))
        return None

    async def _pass_answers(self, loan):
        """Pass the target's bytes on until the loan ends."""
        try:
            while True:
                data = await loan.connection.link.transport.receive()
                loan.end_statement()
                if not data:
                    break
                await loan.channel.send_data(data)
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.NetworkError,
        ):
            pass
        loan.channel.abort()

    def _start_loan(self):
        self._active += 1
        if self._active == 1:
            self._idle = trio.Event()

    def _end_loan(self):
        self._active -= 1
        if self._active == 0:
            self._idle.set()


def _make_refusal(detail="", outcome="", is_lender=True):
    """Return the answer to a request that is not granted."""
    return messages.LoanGrant(
        is_granted=False,
        is_lender=is_lender,
        outcome=outcome,
        detail=detail,
        values=[],
        prepared=[],
    )
