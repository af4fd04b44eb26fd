"""Exchange of log positions between the VMs of a failure domain.

In a large fleet a VM sends few statements to a group's primary, so its own
log positions are often too old for reads at replicas. One VM of the domain,
the group's keeper, collects the newest, and the others ask it.
"""

import math

import trio

from geraniumridge._internal.models import records
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

ANSWER_TIMEOUT_S = 0.02
"""Timeout of a query, which stays within the domain."""

NOTICE_INTERVAL_S = 0.25
"""Least time between a VM's notices to a keeper, for each group."""

NO_POSITION_DELAY_S = 0.1
"""Delay before the keeper that has no useful position is asked again."""

MAX_NEWEST_AGE_S = 0.2
"""Age of a keeper's newest position up to which it needs no other."""

NO_POSITION_AGE_MS = -1
"""Age in the answer of a VM that has no position."""


class PositionExchange:
    """Queries for log positions, and answers to them.

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
        self._nursery = None
        self._keepers = rendezvous.OwnerIndex()
        self._keepers_version = None
        self._retry_at = {}
        self._notified_at = {}
        self._locks = {}
        messages = datagrams.messages
        peers.handle(messages.PositionQuery, self._answer_query)
        peers.handle(messages.PositionNotice, self._note_notice)

    def start(self, nursery):
        """Allow notices, and queries that answer them, in a nursery."""
        self._nursery = nursery

    async def fetch(self, group, since):
        """Ask the group's keeper for a position unless one is known.

        Parameters
        ----------
        group : str
            The group.
        since : float
            Clock time, in seconds, that the position has to cover.
        """
        async with self._locks.setdefault(group, trio.Lock()):
            positions = self._node.get_log_positions(group)
            now = clock.now()
            if positions.find_covering(since) is not None:
                return
            if now < self._retry_at.get(group, -math.inf):
                return
            keeper = self._find_keeper(group)
            if keeper is None or keeper.vm == self._node.settings.vm.name:
                return
            await self._query(group, keeper)
            if positions.find_covering(since) is None:
                self._retry_at[group] = clock.now() + NO_POSITION_DELAY_S

    def notify_keeper(self, group):
        """Tell the group's keeper, now and then, of a new position.

        The notice is sent by a task of its own.
        """
        now = clock.now()
        last = self._notified_at.get(group, -math.inf)
        if now - last < NOTICE_INTERVAL_S:
            return
        self._notified_at[group] = now
        own = self._node.settings.vm.name
        keeper = self._find_keeper(group)
        if keeper is not None and keeper.vm != own:
            notice = datagrams.messages.PositionNotice(vm=own, group=group)
            self._nursery.start_soon(
                self._peers.send_to_members, notice, [keeper]
            )

    async def _query(self, group, member):
        """Ask a VM for its newest position and add it.

        The position was read after `asked_at` less its age, so it covers
        every commit that was acknowledged before that.
        """
        asked_at = clock.now()
        query = datagrams.messages.PositionQuery(group=group)
        answer = await self._peers.query(query, member, ANSWER_TIMEOUT_S)
        if answer is None or answer.age_ms < 0:
            return
        position = records.LogPosition(answer.term, answer.position)
        self._node.get_log_positions(group).add(
            asked_at - answer.age_ms / 1000, position
        )

    async def _answer_query(self, query, sender):
        state = self._node.view.state
        newest = None
        if state is not None and query.group in state.groups:
            newest = self._node.get_log_positions(query.group).newest
        if newest is None:
            term, position, age_ms = 0, 0, NO_POSITION_AGE_MS
        else:
            term, position = newest.log_position
            age_ms = math.ceil((clock.now() - newest.sent_at) * 1000)
        answer = datagrams.messages.PositionAnswer(
            number=query.number, term=term, position=position, age_ms=age_ms
        )
        await self._peers.send(answer, sender)

    async def _note_notice(self, notice, sender):
        state = self._node.view.state
        member = self._node.view.members.get(notice.vm)
        is_known = state is not None and notice.group in state.groups
        if not is_known or member is None or self._nursery is None:
            return
        newest = self._node.get_log_positions(notice.group).newest
        if newest is None or clock.now() - newest.sent_at > MAX_NEWEST_AGE_S:
            self._nursery.start_soon(self._query, notice.group, member)

    def _find_keeper(self, group):
        view = self._node.view
        if view.roster.change_count != self._keepers_version:
            self._keepers_version = view.roster.change_count
            domain = self._node.settings.vm.domain
            self._keepers.update(
                vm
                for vm, member in view.members.items()
                if member.domain == domain
            )
        return view.members.get(self._keepers.find(f"positions/{group}"))
