"""Exchange of suspicions that a group's primary has failed.

In a large fleet the VM that ranks first for a group may send it nothing for
seconds. VMs whose statements get no answer tell it, and it asks the primary
for its status before it begins a failover.
"""

import heapq
import math
import typing

from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

NOTIFIED_VMS = 3
"""VMs, by rank, that are told of a suspicion; some may be out of reach."""

REPORT_INTERVAL_S = 1.0
"""Least time between a VM's reports on one group."""

SUSPICION_VALID_S = 0.5
"""How long a report is reason to ask the primary for its status, within one
region. It is valid longer where the VMs that are told wait longer by rank."""


class Suspicion(typing.NamedTuple):
    """A target that another VM suspects, and when its report arrived."""

    target: str
    received_at: float


class SuspicionExchange:
    """Reports on primaries that do not answer.

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
        self._reported_at = {}
        self._suspicions = {}
        peers.handle(datagrams.messages.PrimarySuspicion, self._note_message)

    def report(self, nursery, group, now):
        """Report a group's primary, which does not answer this VM.

        The VMs that rank first for the group are told, by a task of the
        nursery.

        Parameters
        ----------
        nursery : utils.supervision.Supervisor
            Runs the task.
        group : str
            The group.
        now : float
            Clock time, in seconds.
        """
        reported_at = self._reported_at.get(group, -math.inf)
        if now - reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at[group] = now
        primary = self._node.primary_resolver.find_primary(group)
        if primary is not None:
            nursery.start_soon(self._report, group, primary.id)

    def is_suspected(self, group, target, now):
        """Return whether another VM has reported a target recently."""
        suspicion = self._suspicions.get(group)
        if suspicion is None or suspicion.target != target:
            return False
        age_s = now - suspicion.received_at
        if age_s <= SUSPICION_VALID_S:
            return True
        rank_delay_s = NOTIFIED_VMS * self._node.get_longest_round_trip_s()
        return age_s <= SUSPICION_VALID_S + rank_delay_s

    async def _report(self, group, target):
        members = self._node.view.members
        own = self._node.settings.vm.name
        first = heapq.nlargest(
            NOTIFIED_VMS, members, key=rendezvous.make_sort_key(group)
        )
        message = datagrams.messages.PrimarySuspicion(
            group=group, target=target
        )
        await self._peers.send_to_members(
            message, [members[vm] for vm in first if vm != own]
        )

    async def _note_message(self, message, sender):
        state = self._node.view.state
        if state is not None and message.group in state.groups:
            self._suspicions[message.group] = Suspicion(
                message.target, clock.now()
            )
