"""Connections that this VM borrows from the lenders of a target."""

import logging

import trio

from geraniumridge._internal.decisions import connection_lending
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.network import loan_channel
from geraniumridge._internal.network import peer_messages as messages
from geraniumridge._internal.proxy.lending import session_entries
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

LENDER_CONNECT_TIMEOUT_S = 0.1
"""Timeout of opening a channel to a lender, which is in the same region."""

LOAN_TIMEOUT_S = 0.2
"""How long a lender may take to free or open a connection."""

ANSWER_MARGIN_S = 0.05
"""How long the grant may take beyond `LOAN_TIMEOUT_S`."""

IDLE_CHANNEL_S = 20.0
"""Time after which an unused channel is closed."""


class BorrowedTransport:
    """Bytes to and from a target through its lender.

    Parameters
    ----------
    channel : loan_channel.LoanChannel
        The channel to the lender.
    granted_at : float
        Clock time, in seconds, at which the grant arrived.
    note_expired : callable
        Called when the lender did not pass statements on, with whether it
        got them too late.
    """

    def __init__(self, channel, granted_at, note_expired):
        self._channel = channel
        self._granted_at = granted_at
        self._note_expired = note_expired

    @property
    def is_idle(self):
        """Whether the channel is open, without unread input."""
        return self._channel.is_idle

    async def send(self, data, requires_primary=False):
        """Send statements; the lender checks their age."""
        elapsed_s = clock.now() - self._granted_at
        for start in range(0, len(data), loan_channel.MAX_DATA_BYTES):
            part = data[start : start + loan_channel.MAX_DATA_BYTES]
            await self._channel.send_statements(
                loan_channel.Statements(part, elapsed_s, requires_primary)
            )

    async def receive(self):
        """Return the next bytes, empty at the end of the loan.

        Raises
        ------
        exceptions.NotSentError
            If the lender did not pass the last statements on.
        """
        frame = await self._channel.receive()
        if frame is None:
            return b""
        kind, payload = frame
        if kind is loan_channel.FrameKind.DATA:
            return payload
        self._channel.abort()
        if kind is not loan_channel.FrameKind.EXPIRED:
            raise exceptions.ConnectionLostError("loan channel: wrong frame")
        expired = loan_channel.decode_message(kind, payload)
        self._note_expired(expired.is_late)
        raise exceptions.NotSentError(f"not passed on: {expired.reason}")

    def abort(self):
        """Reset the channel; the lender closes the connection."""
        self._channel.abort()


class _IdleChannel:
    def __init__(self, channel, now):
        self.channel = channel
        self.since = now


class Borrower:
    """Borrows connections for the pools of one VM.

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
        self._health = connection_lending.LenderHealth()
        self._idle_channels = {}
        self._loans = {}

    def find_lenders(self, target):
        """Return the names of the VMs that lend connections to a target."""
        return self._directory.find(target)

    async def borrow(self, target, team):
        """Return a `Link` with its session state, None to open one instead.

        Parameters
        ----------
        target : desired.Target
            The target.
        team : str
            The team.

        Returns
        -------
        tuple or None
            The link, and its values and prepared statements by name.

        Raises
        ------
        exceptions.TargetRefusedError
            If the target refused the lender's connection at its limit.
        exceptions.NotSentError
            If the lender has no connection in time. A further one would wait
            at the target instead.
        """
        member = self._find_lender(target, team)
        if member is None:
            return None
        channel = await self._open_channel(member)
        if channel is None:
            return None
        grant = await self._request(channel, member, target, team)
        if grant is None:
            return None
        if grant.is_granted:
            return self._attach(channel, member, target, grant)
        self._keep(channel, member.vm)
        self._node.metrics.count("loans:refused")
        if not grant.is_lender:
            return None
        if not grant.is_target_full:
            raise exceptions.NotSentError(f"{target.id}: {grant.detail}")
        raise exceptions.TargetRefusedError(
            f"{target.id}: {grant.detail}",
            statements.Outcome.TOO_MANY_CONNECTIONS,
        )

    def give_back(self, link, values, prepared):
        """Return a connection with its session state to the lender."""
        vm, channel = self._loans.pop(link)
        returned = session_entries.make_return(values, prepared)
        if returned is None:
            channel.abort()
            return
        channel.post_message(returned)
        if channel.is_open:
            self._keep(channel, vm)

    def discard(self, link):
        """End a loan; the lender closes the connection."""
        self._loans.pop(link, None)
        link.abort()

    def close_unused(self, now):
        """Close channels that were not used for `IDLE_CHANNEL_S`."""
        members = self._node.view.members
        self._health.retain(members)
        for vm, items in list(self._idle_channels.items()):
            kept = [
                item
                for item in items
                if vm in members and now - item.since <= IDLE_CHANNEL_S
            ]
            for item in items:
                if item not in kept:
                    item.channel.abort()
            if kept:
                self._idle_channels[vm] = kept
            else:
                del self._idle_channels[vm]

    def _find_lender(self, target, team):
        """Return the `fleet.Member` to ask, None to open a connection."""
        lenders = self._directory.find(target)
        settings = self._node.settings
        vm = connection_lending.find_lender(target.id, team, lenders)
        if vm is None or settings.vm.name in lenders:
            return None
        region = self._node.get_region(target.domain)
        if region != self._node.get_region(settings.vm.domain):
            return None
        member = self._node.view.members.get(vm)
        if member is None or not self._health.may_ask(vm, clock.now()):
            return None
        return member

    async def _open_channel(self, member):
        """Return a channel to a lender, None if there is none in time."""
        items = self._idle_channels.get(member.vm, [])
        while items:
            channel = items.pop().channel
            if channel.is_idle:
                return channel
            channel.abort()
        with trio.move_on_after(LENDER_CONNECT_TIMEOUT_S):
            try:
                return await loan_channel.connect(member.address)
            except exceptions.NotSentError as error:
                self._note_failure(member, str(error))
                return None
        self._note_failure(member, "cannot connect in time")
        return None

    async def _request(self, channel, member, target, team):
        """Return the lender's answer, None if it gave none in time."""
        request = messages.LoanRequest(
            target=target.id,
            started_ms=target.started_ms,
            team=team,
            timeout_ms=int(LOAN_TIMEOUT_S * 1000),
        )
        grant = None
        reason = "no answer"
        try:
            with trio.move_on_after(LOAN_TIMEOUT_S + ANSWER_MARGIN_S):
                await channel.send_message(request)
                grant = await channel.receive_message(messages.LoanGrant)
        except exceptions.ConnectionLostError as error:
            reason = str(error)
        finally:
            if grant is None:
                channel.abort()
        if grant is None:
            self._note_failure(member, reason)
        else:
            self._health.note_answer(member.vm)
        return grant

    def _attach(self, channel, member, target, grant):
        granted_at = clock.now()
        self._node.metrics.count("loans:granted")

        def note_expired(is_late):
            self._node.metrics.count("loans:expired")
            if is_late:
                self._note_failure(member, "passed a statement on too late")

        transport = BorrowedTransport(channel, granted_at, note_expired)
        link = self._node.dialect.attach(transport, target.id)
        self._loans[link] = (member.vm, channel)
        return (
            link,
            session_entries.decode(grant.values),
            session_entries.decode(grant.prepared),
        )

    def _keep(self, channel, vm):
        self._idle_channels.setdefault(vm, []).append(
            _IdleChannel(channel, clock.now())
        )

    def _note_failure(self, member, reason):
        self._health.note_failure(member.vm, clock.now())
        self._node.metrics.count("loans:lender_failed")
        logger.info(
            "lender failed",
            extra={
                "event": "lender_failed",
                "lender": member.vm,
                "why": reason,
            },
        )
