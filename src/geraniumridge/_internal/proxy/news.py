"""Tells neighbours how far the store has been read."""

import math
import typing

import trio

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

ANSWER_S = 0.05
"""How long an answer is waited for; neighbours are in one domain."""

HEARD_S = 1.5
"""A neighbour heard within this time will tell when it has news."""


class Heard(typing.NamedTuple):
    """What a neighbour says of its view.

    `changed` is the revision of the last change that it knows, and
    `age_s` the age of its knowledge in seconds.
    """

    changed: int
    age_s: float


class News:
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
        self._hinted = trio.Event()
        self._heard_at = -math.inf
        peers.handle(datagrams.messages.AskNews, self._take_question)
        peers.handle(datagrams.messages.Hint, self._take_hint)

    async def ask(self, member):
        """Ask a neighbour.

        Returns
        -------
        Heard or None
            None without an answer in time.
        """
        question = datagrams.messages.AskNews()
        answer = await self._peers.ask(question, member, ANSWER_S)
        if answer is None:
            return None
        self._heard_at = clock.now()
        return Heard(answer.changed, answer.age_ms / 1000)

    async def tell_domain(self):
        """Tell the neighbours that there is news."""
        domain = self._node.settings.vm.domain
        await self._tell(
            member for member in self._list_others() if member.domain == domain
        )

    async def tell_all(self):
        """Tell all VMs, this one as well, that there is news."""
        self._hinted.set()
        await self._tell(self._list_others())

    async def wait_hint(self):
        """Wait until some VM tells of news."""
        await self._hinted.wait()
        self._hinted = trio.Event()

    def is_heard(self, now):
        """Tell whether the neighbour answered lately, at whatever age."""
        return now - self._heard_at <= HEARD_S

    def _list_others(self):
        return self._node.view.roster.list_others(self._node.settings.vm.name)

    async def _tell(self, members):
        hint = datagrams.messages.Hint(self._node.settings.vm.name)
        await self._peers.tell(hint, members)

    async def _take_question(self, question, sender):
        age_s = self._node.freshness.get_age(clock.now())
        if age_s < primacy.MAX_VIEW_AGE_S:
            news = datagrams.messages.News(
                question.number,
                self._node.view.unchanged_since,
                math.ceil(age_s * 1000),
            )
            await self._peers.send(news, sender)

    async def _take_hint(self, hint, sender):
        self._hinted.set()
