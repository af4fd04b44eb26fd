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

MAX_CHANNELS = 1_024
"""Channels of all borrowers; further ones are closed at once."""

CHANNEL_TIMEOUT_S = 60.0
"""Time after which a channel without a request is closed; borrowers close
theirs sooner."""


class _Loan:
    """One connection while it is lent."""

    def __init__(self, channel, connection, granted_at):
        self.channel = channel
        self.connection = connection
        self.clock = connection_lending.ForwardClock(granted_at)
        self.is_returned = False
        self.is_untouched = True
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
        self._channel_count = 0
        self._loan_count = 0
        self._no_loans = trio.Event()
        self._no_loans.set()

    async def start(self, nursery):
        """Listen for loan channels at the address for peers.

        Without it the other VMs open their connections themselves, so a
        failure does not end the daemon.
        """
        try:
            await streams.serve(
                nursery, self._node.settings.peer_address, self._serve
            )
        except exceptions.NetworkError as error:
            logger.warning(
                "cannot lend connections",
                extra={"event": "lending_off", "why": str(error)},
            )

    def stop(self):
        """Lend no further connections."""
        self._is_stopping = True

    async def wait_idle(self):
        """Wait until no connection is lent."""
        await self._no_loans.wait()

    async def _serve(self, stream):
        if self._channel_count >= MAX_CHANNELS:
            await trio.aclose_forcefully(stream)
            return
        self._channel_count += 1
        try:
            await self._serve_channel(loan_channel.LoanChannel(stream.socket))
        except (exceptions.ConnectionLostError, OSError):
            # The borrower has closed the channel or lost it.
            pass
        except Exception:
            logger.exception("loan channel failed", extra={"event": "fault"})
        finally:
            self._channel_count -= 1
            stream.socket.close()

    async def _serve_channel(self, channel):
        try:
            while channel.is_open:
                request = None
                with trio.move_on_after(CHANNEL_TIMEOUT_S):
                    request = await channel.receive_message(
                        messages.LoanRequest
                    )
                if request is None:
                    return
                self._start_loan()
                try:
                    await self._serve_request(channel, request)
                finally:
                    self._end_loan()
        finally:
            channel.abort()

    async def _serve_request(self, channel, request):
        target = self._find_target(request)
        if target is None:
            await channel.send_message(
                _make_refusal("not a lender", is_lender=False)
            )
            return
        pool = self._node.pools.get(target.id)
        try:
            connection = await self._acquire(pool, target, request)
        except exceptions.NetworkError as error:
            is_full = isinstance(error, exceptions.ConnectionLimitError)
            await channel.send_message(_make_refusal(str(error), is_full))
            return
        if not session_entries.is_portable(
            connection.values, connection.prepared
        ):
            pool.discard(connection)
            await channel.send_message(
                _make_refusal("too much state", is_lender=False)
            )
            return
        loan = _Loan(channel, connection, clock.now())
        try:
            await self._run_loan(loan)
        finally:
            loan.end_statement()
            if loan.is_returned or loan.is_untouched:
                pool.release(connection)
            else:
                pool.discard(connection)

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
            is_target_full=False,
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
                if frame is None:
                    loan.channel.abort()
                    return
                if not await self._pass_frame(loan, *frame):
                    await loan.channel.finish()
                    return
        except (
            OSError,
            trio.ClosedResourceError,
            trio.TooSlowError,
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
        refusal = self._check_statements(loan, statements)
        if refusal is not None:
            self._node.metrics.count("loans:not_passed_on")
            await loan.channel.send_message(refusal)
            return False
        loan.is_untouched = False
        with trio.fail_after(loan_channel.SEND_TIMEOUT_S):
            await loan.connection.link.transport.send(statements.data)
        return True

    def _check_statements(self, loan, statements):
        """Return the message that refuses to pass statements on, or None."""
        now = clock.now()
        if loan.clock.is_too_old(statements.elapsed_s, now):
            return messages.LoanExpired(
                reason="it took too long to the lender", is_late=True
            )
        if not statements.requires_primary:
            return None
        target = loan.connection.target
        usable = self._node.primary_resolver.find_usable_primary(
            target.group, now
        )
        if usable is None or usable.id != target.id:
            return messages.LoanExpired(
                reason="the lender may not use the primary", is_late=False
            )
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
        # The borrower reads what the target sent last, and ends the channel.
        loan.channel.send_eof()
        await trio.sleep(loan_channel.FINISH_TIMEOUT_S)
        loan.channel.abort()

    def _start_loan(self):
        self._loan_count += 1
        if self._loan_count == 1:
            self._no_loans = trio.Event()

    def _end_loan(self):
        self._loan_count -= 1
        if self._loan_count == 0:
            self._no_loans.set()


def _make_refusal(detail, is_target_full=False, is_lender=True):
    """Return the answer to a request that is not granted."""
    return messages.LoanGrant(
        is_granted=False,
        is_lender=is_lender,
        is_target_full=is_target_full,
        detail=detail,
        values=[],
        prepared=[],
    )
