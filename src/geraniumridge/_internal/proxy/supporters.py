"""Asks the other VMs about leads while the store does not answer."""

import itertools
import math

from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

ASK_AGE_S = primacy.MAX_UNCONFIRMED_AGE_S - 0.35
"""Age of the knowledge from which others are asked; the answer to a
second question still comes in time."""

ASK_PAUSE_S = 0.25
"""Pause between questions."""

MAX_GROUPS = 16
"""Groups that an answer names, so that it fits a datagram."""


class Supporters:
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
        self._number = None
        self._asked_at = -math.inf
        peers.handle(datagrams.messages.Doubt, self._answer)
        peers.handle(datagrams.messages.Standing, self._take)

    async def ask(self):
        """Ask the members if it is time to; called often."""
        now = clock.now()
        age_s = self._node.freshness.get_age(now)
        if not ASK_AGE_S <= age_s <= primacy.MAX_VIEW_AGE_S:
            return
        if now - self._asked_at < ASK_PAUSE_S:
            return
        if len(self._node.view.members) > support.MAX_QUORUM_MEMBERS:
            return
        self._number = next(self._numbers)
        self._asked_at = now
        doubt = datagrams.messages.Doubt(
            self._number, self._node.view.revision
        )
        own = self._node.settings.vm.name
        others = self._node.view.roster.list_others(own)
        await self._peers.tell(doubt, others)

    async def _answer(self, doubt, sender):
        view = self._node.view
        if view.state is None:
            # Nothing is known that could bear anything out.
            return
        groups = view.list_groups_with_newer_lead(doubt.revision)
        standing = datagrams.messages.Standing(
            doubt.number,
            self._node.settings.vm.name,
            groups[:MAX_GROUPS],
            len(groups) <= MAX_GROUPS,
        )
        await self._peers.send(standing, sender)

    async def _take(self, message, sender):
        if message.number != self._number:
            return
        newer = frozenset(message.groups) if message.is_whole else None
        self._node.support.add(
            message.vm, support.Confirmation(self._asked_at, newer)
        )
