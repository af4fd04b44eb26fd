"""Quorum confirmation of leadership records during a store outage."""

import itertools
import math

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

QUERY_AGE_S = primary_resolver.MAX_UNCONFIRMED_AGE_S - 0.35
"""Age of the store view from which the other members are queried: 0.35 s
before a confirmation is needed, so that the answer to a second query still
arrives in time."""

QUERY_INTERVAL_S = 0.25
"""Minimum time between queries."""

MAX_GROUPS = 16
"""Maximum number of groups in an answer, so that it fits a datagram."""


class LeadershipExchange:
    """Queries about newer leadership records, and answers to them.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
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
        """Query the other members if it is due; called periodically."""
        now = clock.now()
        age_s = self._node.view_age.get_age(now)
        if not QUERY_AGE_S <= age_s <= primary_resolver.MAX_VIEW_AGE_S:
            return
        if now - self._queried_at < QUERY_INTERVAL_S:
            return
        if len(self._node.view.members) > quorum.MAX_QUORUM_MEMBERS:
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
            # Without a store view there is nothing to confirm.
            return
        groups = view.list_groups_with_newer_lead(query.revision)
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
        self._node.confirmations.add(
            message.vm, quorum.Confirmation(self._queried_at, newer)
        )
