"""Quorum confirmation of leadership records during a store outage."""

import itertools
import math

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

REQUEST_INTERVAL_S = 0.25
"""Minimum time between requests."""

REQUEST_LEAD_S = 0.35
"""How long before a confirmation is needed the other voters are asked first:
for a second request after `REQUEST_INTERVAL_S`, and its answer. The round
trip to voters of other regions is added."""

REQUEST_AGE_S = primary_resolver.MAX_UNCONFIRMED_AGE_S - REQUEST_LEAD_S
"""Age of the store view from which the other voters are asked, within one
region."""

MAX_ADDED_LEAD_S = 0.3
"""Longest round trip that is added to the lead."""

MAX_GROUPS = 16
"""Maximum number of groups in an answer, so that it fits a datagram."""


class QuorumExchange:
    """Requests to confirm leadership records, and answers to them.

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
        self._request_number = None
        self._requested_at = -math.inf
        peers.handle(
            datagrams.messages.ConfirmationRequest, self._answer_request
        )
        peers.handle(datagrams.messages.ConfirmationAnswer, self._note_answer)

    def start_due_request(self, nursery):
        """Ask the other voters in a task of a nursery, if it is due.

        Called periodically.
        """
        now = clock.now()
        age_s = self._node.view_age.get_age(now)
        if age_s > primary_resolver.MAX_VIEW_AGE_S:
            return
        if age_s < REQUEST_AGE_S and not self._is_due_early(age_s):
            return
        if now - self._requested_at >= REQUEST_INTERVAL_S:
            nursery.start_soon(self._request_confirmations, now)

    def _is_due_early(self, age_s):
        """Return whether voters of other regions have to be asked by now."""
        if age_s < REQUEST_AGE_S - MAX_ADDED_LEAD_S:
            return False
        added_s = self._node.get_longest_round_trip_s()
        return age_s >= REQUEST_AGE_S - min(MAX_ADDED_LEAD_S, added_s)

    async def _request_confirmations(self, now):
        self._request_number = next(self._numbers)
        self._requested_at = now
        request = datagrams.messages.ConfirmationRequest(
            self._request_number, self._node.view.revision
        )
        await self._peers.send_to_members(request, self._list_other_voters())

    def _list_other_voters(self):
        roster = self._node.view.roster
        own = self._node.settings.vm.name
        return [roster.members[vm] for vm in roster.voters if vm != own]

    async def _answer_request(self, request, sender):
        view = self._node.view
        if view.state is None:
            # Without a store view there is nothing to confirm.
            return
        groups = view.list_groups_with_newer_lead(request.revision)
        answer = datagrams.messages.ConfirmationAnswer(
            request.number,
            self._node.settings.vm.name,
            groups[:MAX_GROUPS],
            len(groups) <= MAX_GROUPS,
        )
        await self._peers.send(answer, sender)

    async def _note_answer(self, message, sender):
        if message.number != self._request_number:
            return
        if message.vm not in self._node.view.members:
            # One answer is kept for each name.
            return
        newer = frozenset(message.groups) if message.is_whole else None
        self._node.confirmations.add(
            message.vm, quorum.Confirmation(self._requested_at, newer)
        )
