"""Tells neighbours how far the store has been read."""

import math
import typing

import trio

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

ANSWER_TIMEOUT_S = 0.05
"""How long an answer is waited for; neighbours are in one domain."""

RECENT_ANSWER_S = 1.5
"""A neighbour heard within this time will tell when it has news."""


class ViewStatus(typing.NamedTuple):
    """What a neighbour says of its view.

    `changed` is the revision of the last change that it knows, and
    `age_s` the age of its knowledge in seconds.
    """

    changed: int
    age_s: float


class ViewExchange:
    """Asks a neighbour for news, and answers those that ask.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Carries the messages.
    """

    def __init__(self, node, peers):
        self._node = node
        self._peers = peers
        self._notified = trio.Event()
        self._heard_at = -math.inf
        peers.handle(datagrams.messages.ViewStatusQuery, self._answer_query)
        peers.handle(
            datagrams.messages.ChangeNotification, self._note_notification
        )

    async def ask(self, member):
        """Ask a neighbour.

        Returns
        -------
        ViewStatus or None
            None without an answer in time.
        """
        question = datagrams.messages.ViewStatusQuery()
        answer = await self._peers.ask(question, member, ANSWER_TIMEOUT_S)
        if answer is None:
            return None
        self._heard_at = clock.now()
        return ViewStatus(answer.changed, answer.age_ms / 1000)

    async def notify_domain(self):
        """Tell the neighbours that there is news."""
        domain = self._node.settings.vm.domain
        await self._notify(
            member for member in self._list_others() if member.domain == domain
        )

    async def notify_all(self):
        """Tell all VMs, this one as well, that there is news."""
        self._notified.set()
        await self._notify(self._list_others())

    async def wait_notification(self):
        """Wait until some VM tells of news."""
        await self._notified.wait()
        self._notified = trio.Event()

    def has_recent_answer(self, now):
        """Tell whether the neighbour answered lately, at whatever age."""
        return now - self._heard_at <= RECENT_ANSWER_S

    def _list_others(self):
        return self._node.view.roster.list_others(self._node.settings.vm.name)

    async def _notify(self, members):
        notification = datagrams.messages.ChangeNotification(
            self._node.settings.vm.name
        )
        await self._peers.send_to_members(notification, members)

    async def _answer_query(self, question, sender):
        age_s = self._node.freshness.get_age(clock.now())
        if age_s < primacy.EVIDENCE_S:
            status = datagrams.messages.ViewStatusAnswer(
                question.number,
                self._node.view.changed,
                math.ceil(age_s * 1000),
            )
            await self._peers.send(status, sender)

    async def _note_notification(self, notification, sender):
        self._notified.set()
