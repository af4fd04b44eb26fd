"""Queries for the time of day of other VMs."""

import heapq
import math
import time

import trio

from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

REFERENCES = 15
"""VMs whose time of day all VMs read; up to seven may be wrong. All VMs read
the same, so that their windows begin at the same time."""

REFERENCES_KEY = "usage/clock"

READ_INTERVAL_S = 10.0
"""Interval between the readings of a VM that counts or reports."""

IDLE_READ_INTERVAL_S = 60.0
"""Interval between the readings of another VM."""

START_INTERVAL_S = 0.2
"""Interval between the readings until the clock has settled."""

CHANGE_INTERVAL_S = 1.0
"""Least time between readings because other VMs are read now."""

ANSWER_TIMEOUT_S = 0.1
"""Timeout of a query. A reading is off by at most half of it, and so does not
look like a jump (`decisions.usage.clock.JUMP_S`)."""

MAX_TIME_S = 2.0**40
"""Greatest time of day that is accepted, in seconds."""


class TimeExchange:
    """Queries for times of day, and answers to them.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    usage_clock : decisions.usage.clock.UsageClock
        Takes the readings.
    is_needed : callable
        Whether the VM counts or reports now.
    """

    def __init__(self, node, peers, usage_clock, is_needed):
        self._node = node
        self._peers = peers
        self._clock = usage_clock
        self._is_needed = is_needed
        self._read_at = -math.inf
        self._change_count = None
        self._references = []
        self._read_references = None
        peers.handle(datagrams.messages.TimeQuery, self._answer_query)

    async def run(self):
        """Keep the clock current until cancelled."""
        while True:
            references = self._find_references()
            if clock.now() >= self._read_at + self._get_interval_s(references):
                self._read_at = clock.now()
                self._read_references = references
                await self._read_all(references)
            await trio.sleep(START_INTERVAL_S)

    def _get_interval_s(self, references):
        if not self._clock.is_settled:
            return 0.0
        if references != self._read_references:
            return CHANGE_INTERVAL_S
        return READ_INTERVAL_S if self._is_needed() else IDLE_READ_INTERVAL_S

    async def _read_all(self, references):
        own = self._node.settings.vm.name
        self._clock.set_references(member.vm for member in references)
        self._clock.note_reading(own, time.time(), clock.now())
        async with trio.open_nursery() as nursery:
            for member in references:
                if member.vm != own:
                    nursery.start_soon(self._read, member)
        if own in self._node.view.members:
            # Before, the view does not show who the others are.
            self._clock.settle(clock.now())

    def _find_references(self):
        members = self._node.view.members
        change_count = self._node.view.roster.change_count
        if change_count != self._change_count:
            self._change_count = change_count
            first = heapq.nlargest(
                REFERENCES,
                members,
                key=rendezvous.make_sort_key(REFERENCES_KEY),
            )
            self._references = [members[vm] for vm in first]
        return self._references

    async def _read(self, member):
        sent_at = clock.now()
        answer = await self._peers.query(
            datagrams.messages.TimeQuery(), member, ANSWER_TIMEOUT_S
        )
        received_at = clock.now()
        if answer is None or not 0 <= answer.time_us <= MAX_TIME_S * 1e6:
            return
        self._clock.note_reading(
            member.vm, answer.time_us / 1e6, (sent_at + received_at) / 2
        )

    async def _answer_query(self, query, sender):
        answer = datagrams.messages.TimeAnswer(
            number=query.number, time_us=time.time_ns() // 1000
        )
        await self._peers.send(answer, sender)
