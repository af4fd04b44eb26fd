"""Asks the other VMs about leads while the store does not answer."""

import itertools
import math

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

QUERY_AGE_S = primacy.UNSUPPORTED_S - 0.35
"""Age of the knowledge from which others are asked; the answer to a
second question still comes in time."""

QUERY_INTERVAL_S = 0.25
"""Pause between questions."""

MAX_GROUPS = 16
"""Groups that an answer names, so that it fits a datagram."""


class LeadershipExchange:
    """Asks members, and answers those that ask.

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
        self._query_number = None
        self._queried_at = -math.inf
        peers.handle(datagrams.messages.LeadershipQuery, self._answer_query)
        peers.handle(datagrams.messages.LeadershipAnswer, self._note_answer)

    async def query_members(self):
        """Ask the members if it is time to; called often."""
        now = clock.now()
        age_s = self._node.freshness.get_age(now)
        if not QUERY_AGE_S <= age_s <= primacy.EVIDENCE_S:
            return
        if now - self._queried_at < QUERY_INTERVAL_S:
            return
        if len(self._node.view.members) > support.MAX_MEMBERS:
            return
        self._query_number = next(self._numbers)
        self._queried_at = now
        query = datagrams.messages.LeadershipQuery(
            self._query_number, self._node.view.revision
        )
        own = self._node.settings.vm.name
        others = self._node.view.roster.list_others(own)
        await self._peers.send_to_members(query, others)

    async def _answer_query(self, query, sender):
        view = self._node.view
        if view.state is None:
            # Nothing is known that could bear anything out.
            return
        groups = view.list_led_after(query.revision)
        answer = datagrams.messages.LeadershipAnswer(
            query.number,
            self._node.settings.vm.name,
            groups[:MAX_GROUPS],
            len(groups) <= MAX_GROUPS,
        )
        await self._peers.send(answer, sender)

    async def _note_answer(self, message, sender):
        if message.number != self._query_number:
            return
        newer = frozenset(message.groups) if message.is_whole else None
        self._node.support.take(
            message.vm, support.Standing(self._queried_at, newer)
        )
