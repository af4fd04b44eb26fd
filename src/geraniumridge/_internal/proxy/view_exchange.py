"""Exchange between VMs of how current their store views are.

A neighbour is another VM of the same failure domain.
"""

import math
import typing

import trio

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

ANSWER_TIMEOUT_S = 0.05
"""Timeout of a query, which stays within one failure domain."""

RECENT_ANSWER_S = 1.5
"""A neighbour that answered within this time counts as reachable, and
will notify this VM of changes."""


class ViewStatus(typing.NamedTuple):
    """State of a neighbour's store view.

    `last_change_revision` is the store revision of the last change in it,
    and `age_s` its age in seconds.
    """

    last_change_revision: int
    age_s: float


class ViewExchange:
    """Queries and notifications about changes in the store.

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
        self._answered_at = -math.inf
        peers.handle(datagrams.messages.ViewStatusQuery, self._answer_query)
        peers.handle(
            datagrams.messages.ChangeNotification, self._note_notification
        )

    async def query(self, member):
        """Query a neighbour's view status.

        Returns
        -------
        ViewStatus or None
            None without an answer in time.
        """
        query = datagrams.messages.ViewStatusQuery()
        answer = await self._peers.query(query, member, ANSWER_TIMEOUT_S)
        if answer is None:
            return None
        self._answered_at = clock.now()
        return ViewStatus(answer.changed, answer.age_ms / 1000)

    async def notify_domain(self):
        """Notify the VMs of this domain of a change in the store."""
        domain = self._node.settings.vm.domain
        await self._notify(
            member for member in self._list_others() if member.domain == domain
        )

    async def notify_all(self):
        """Notify all VMs, including this one, of a change in the store."""
        self._notified.set()
        await self._notify(self._list_others())

    async def wait_notification(self):
        """Wait for the next change notification."""
        await self._notified.wait()
        self._notified = trio.Event()

    def has_recent_answer(self, now):
        """Return whether a neighbour has answered a query recently.

        The age of its store view does not matter.
        """
        return now - self._answered_at <= RECENT_ANSWER_S

    def _list_others(self):
        return self._node.view.roster.list_others(self._node.settings.vm.name)

    async def _notify(self, members):
        notification = datagrams.messages.ChangeNotification(
            self._node.settings.vm.name
        )
        await self._peers.send_to_members(notification, members)

    async def _answer_query(self, query, sender):
        age_s = self._node.view_age.get_age(clock.now())
        if age_s < primary_resolver.MAX_VIEW_AGE_S:
            status = datagrams.messages.ViewStatusAnswer(
                query.number,
                self._node.view.last_change_revision,
                math.ceil(age_s * 1000),
            )
            await self._peers.send(status, sender)

    async def _note_notification(self, notification, sender):
        self._notified.set()
