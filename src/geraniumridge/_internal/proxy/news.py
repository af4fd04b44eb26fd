"""Tells neighbours how far the store has been read."""

import itertools
import math
import typing

import trio

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import streams
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
        self._numbers = itertools.count(1)
        self._number = None
        self._answer = None
        self._answered = trio.Event()
        self._hinted = trio.Event()
        self._heard_at = -math.inf
        peers.handle(datagrams.messages.AskNews, self._take_question)
        peers.handle(datagrams.messages.News, self._take_news)
        peers.handle(datagrams.messages.Hint, self._take_hint)

    async def ask(self, member):
        """Ask a neighbour.

        Returns
        -------
        Heard or None
            None without an answer in time.
        """
        self._number = next(self._numbers)
        self._answer = None
        self._answered = trio.Event()
        question = datagrams.messages.AskNews(self._number)
        await self._peers.send(question, streams.split_address(member.address))
        with trio.move_on_after(ANSWER_S):
            await self._answered.wait()
        return self._answer

    async def tell_domain(self):
        """Tell the neighbours that there is news."""
        vm = self._node.settings.vm
        await self._tell(
            member
            for member in self._node.view.members.values()
            if member.domain == vm.domain and member.vm != vm.name
        )

    async def tell_all(self):
        """Tell all VMs, this one as well, that there is news."""
        self._hinted.set()
        vm = self._node.settings.vm
        await self._tell(
            member
            for member in self._node.view.members.values()
            if member.vm != vm.name
        )

    async def wait_hint(self):
        """Wait until some VM tells of news."""
        await self._hinted.wait()
        self._hinted = trio.Event()

    def is_heard(self, now):
        """Tell whether the neighbour answered lately, at whatever age."""
        return now - self._heard_at <= HEARD_S

    async def _tell(self, members):
        hint = datagrams.messages.Hint(self._node.settings.vm.name)
        for member in list(members):
            address = streams.split_address(member.address)
            await self._peers.send(hint, address)

    async def _take_question(self, question, sender):
        age_s = self._node.freshness.get_age(clock.now())
        if age_s < primacy.EVIDENCE_S:
            news = datagrams.messages.News(
                question.number,
                self._node.view.changed,
                math.ceil(age_s * 1000),
            )
            await self._peers.send(news, sender)

    async def _take_news(self, news, sender):
        if news.number == self._number:
            self._heard_at = clock.now()
            self._answer = Heard(news.changed, news.age_ms / 1000)
            self._answered.set()

    async def _take_hint(self, hint, sender):
        self._hinted.set()
