"""Exchange of acknowledgements between a VM that runs a failover and others.

An acknowledgement goes to that VM directly. Only one that cannot be delivered
is written to the store, since each of the store's changes reaches every VM.
"""

from geraniumridge._internal.models import fleet
from geraniumridge._internal.network import datagrams

ANSWER_TIMEOUT_S = 0.05
"""Timeout of one delivery within one region; the other VM may be in another
domain."""

MAX_ANSWER_TIMEOUT_S = 0.2
"""Longest timeout of one delivery to another region. The failover waits for
the acknowledgement, and the store is used after `DELIVERY_ATTEMPTS`."""

DELIVERY_ATTEMPTS = 2
"""Deliveries without a receipt before the store is used."""


class AcknowledgementExchange:
    """Delivery of acknowledgements, and the record of received ones.

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
        peers.handle(
            datagrams.messages.FailoverAcknowledgement, self._note_message
        )

    async def deliver(self, group, revision, holder):
        """Deliver this VM's acknowledgement of a failover.

        Parameters
        ----------
        group : str
            The group whose primary this VM no longer uses.
        revision : int
            Revision of the failover's leadership record.
        holder : str
            ``VM/boot`` of the daemon that runs the failover.

        Returns
        -------
        bool
            Whether the other VM has recorded it.
        """
        own = self._node.settings.vm.name
        vm = holder.partition("/")[0]
        bound = self._node.make_commit_bound(group)
        if vm == own:
            return self._note(own, group, revision, bound)
        member = self._node.view.members.get(vm)
        if member is None:
            return False
        for _ in range(DELIVERY_ATTEMPTS):
            message = _make_message(own, group, revision, bound)
            receipt = await self._peers.query(
                message, member, ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S
            )
            if receipt is not None:
                return True
        return False

    async def _note_message(self, message, sender):
        is_noted = self._note(
            message.vm, message.group, message.revision, _read_bound(message)
        )
        if is_noted:
            receipt = datagrams.messages.AcknowledgementReceipt(
                number=message.number
            )
            await self._peers.send(receipt, sender)

    def _note(self, vm, group, revision, bound):
        """Record an acknowledgement of a known member for a known group."""
        state = self._node.view.state
        if state is None or group not in state.groups:
            return False
        if vm not in self._node.view.members:
            return False
        self._node.acknowledgements.note(vm, group, revision, bound)
        return True


def _make_message(vm, group, revision, bound):
    fields = bound._asdict() if bound is not None else {}
    return datagrams.messages.FailoverAcknowledgement(
        vm=vm, group=group, revision=revision, **fields
    )


def _read_bound(message):
    """Return the `fleet.CommitBound` in a message, None if it has none."""
    if not message.boot:
        return None
    return fleet.CommitBound(
        message.boot,
        message.term,
        message.position,
        message.covered_revision,
        message.sent_revision,
    )
