"""Renewal of a VM's lease by a neighbour that reaches the store.

The store may turn a VM away, or a network partition may cut it off, while
the VM and its neighbours work. It stays registered through one of them.
"""

import logging

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.5
"""Timeout of a request; the neighbour calls the store meanwhile."""


class LeaseRelay:
    """Requests to renew this VM's lease, and renewals for other VMs.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    view_exchange : proxy.view_exchange.ViewExchange
        Tells which neighbour has a current store view.
    """

    def __init__(self, node, store, peers, view_exchange):
        self._node = node
        self._store = store
        self._peers = peers
        self._view_exchange = view_exchange
        self._nursery = None
        peers.handle(
            datagrams.messages.LeaseRenewalRequest, self._note_request
        )

    def start(self, nursery):
        """Allow renewals for other VMs, in tasks of a nursery."""
        self._nursery = nursery

    async def renew(self, lease):
        """Let a neighbour renew this VM's lease.

        Returns
        -------
        bool
            Whether it is renewed; the store started it after the call.

        Raises
        ------
        exceptions.LeaseLostError
            If the lease has ended.
        """
        neighbour = self._view_exchange.find_confirming_neighbour()
        if neighbour is None:
            return False
        request = datagrams.messages.LeaseRenewalRequest(
            vm=self._node.settings.vm.name, lease=lease
        )
        answer = await self._peers.query(request, neighbour, ANSWER_TIMEOUT_S)
        if answer is None:
            return False
        if answer.is_lost:
            raise exceptions.LeaseLostError(f"lease {lease} has ended")
        return answer.is_renewed

    async def _note_request(self, request, sender):
        is_member = request.vm in self._node.view.members
        if is_member and self._nursery is not None:
            # The store may take long, and other datagrams must not wait.
            self._nursery.start_soon(self._answer_request, request, sender)

    async def _answer_request(self, request, sender):
        answer = datagrams.messages.LeaseRenewalAnswer(
            number=request.number, is_renewed=False, is_lost=False
        )
        try:
            await self._store.renew_lease(request.lease)
            answer.is_renewed = True
        except exceptions.LeaseLostError:
            answer.is_lost = True
        except exceptions.PlatformError as error:
            logger.info(
                "lease of a neighbour not renewed",
                extra={
                    "event": "lease_relay_failed",
                    "for": request.vm,
                    "why": str(error),
                },
            )
        await self._peers.send(answer, sender)
