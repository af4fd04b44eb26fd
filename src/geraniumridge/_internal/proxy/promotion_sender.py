"""Orders to promote a target, as one run of a failover sends them."""

import enum
import logging

from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.proxy import recorded_call
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)


class Outcome(enum.Enum):
    """What became of an order; `UNANSWERED` ones may be carried out."""

    NOT_SENT = "promotion not sent"
    REFUSED = "promotion refused"
    ANSWERED = "promotion ordered"
    UNANSWERED = "promotion in doubt"


WITHOUT_EFFECT = (Outcome.NOT_SENT, Outcome.REFUSED)
"""Outcomes of orders that are not carried out."""


class PromotionSender:
    """Records and sends the orders of one run of a failover.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Client that promotes targets.
    group : str
        The group.
    fence : int
        Fencing token: the revision of the failover's leadership record.
    """

    def __init__(self, node, store, promoter, group, fence):
        self._node = node
        self._promoter = promoter
        self._group = group
        self._fence = fence
        self._recorder = recorded_call.FencedRecorder(
            store, fleet.make_lead_key(group), fence
        )
        self._order_key = fleet.make_order_key(group)
        self._result = promotion_orders.SendResult()
        self._outcome = None
        self._attempts = 0
        self._order_revision = None
        self._recorded_at = None

    @property
    def outcome(self):
        """The `Outcome` of the newest order, None until it is known."""
        return self._outcome

    def start(self, nursery, target_id, may_send):
        """Order a promotion in a task of a nursery.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the task; cancel it to wait no longer for an answer.
        target_id : str
            The target to promote.
        may_send : callable
            Called right before the order leaves; returns whether the
            failover may still order it.

        Notes
        -----
        The record of the order is written only while the leadership record
        is that of this failover, so a VM that takes it over either sees the
        order or prevents it.
        """
        self._outcome = None
        nursery.start_soon(self._run, target_id, may_send)

    async def _run(self, target_id, may_send):
        self._outcome = await self._send(target_id, may_send)

    async def _send(self, target_id, may_send):
        """Connect, record the order and send it; return the `Outcome`."""
        self._attempts += 1
        order = fleet.PromotionOrder(
            target_id,
            self._fence,
            self._node.settings.vm.name,
            self._attempts,
        )

        def find_obstacle():
            if not may_send():
                return "no longer allowed"
            delay_s = clock.now() - self._recorded_at
            if delay_s > promotion_orders.MAX_SEND_DELAY_S:
                return f"recorded {delay_s:.1f} s ago"
            return None

        try:
            return await recorded_call.send(
                self._promoter.connect,
                lambda: self._record(order),
                find_obstacle,
                lambda call: self._send_recorded(call, order),
            )
        except recorded_call.NotSentError as error:
            return self._log_outcome(
                Outcome.NOT_SENT, target_id, why=str(error)
            )

    async def _record(self, order):
        """Record an order; return why that failed, or None."""
        # The delay counts from the request, as the record may take effect
        # long before its answer.
        self._recorded_at = clock.now()
        try:
            self._order_revision = await self._recorder.record(
                self._order_key, fleet.encode_record(order)
            )
        except exceptions.PlatformError as error:
            return str(error) or type(error).__name__
        return None

    async def _send_recorded(self, call, order):
        self._result = self._result._replace(
            sent=self._result.sent + 1, target=order.target
        )
        self._log("promotion sent", order.target, sent=self._result.sent)
        try:
            await call.send(self._group, order)
        except exceptions.TargetRefusedError as error:
            self._note_answer()
            await self._withdraw()
            return self._log_outcome(
                Outcome.REFUSED, order.target, why=str(error)
            )
        except exceptions.PlatformUnavailableError as error:
            return self._log_outcome(
                Outcome.UNANSWERED, order.target, why=str(error)
            )
        self._note_answer()
        return self._log_outcome(Outcome.ANSWERED, order.target)

    def _note_answer(self):
        answered = self._result.answered + 1
        self._result = self._result._replace(answered=answered)

    async def _withdraw(self):
        """Remove the record of a refused order.

        Kept if an earlier order of this failover went unanswered. The
        condition on the record's own revision keeps a delete that the store
        carries out late from removing the record of a later order.
        """
        if self._result.answered < self._result.sent:
            return
        try:
            await self._recorder.remove(self._order_key, self._order_revision)
        except exceptions.PlatformError as error:
            self._log("refused order not removed", None, why=str(error))

    def list_settled(self, primary, has_new_term):
        """Return the keys of orders to delete once a target is primary.

        `has_new_term` is whether it was promoted since the failover was
        recorded.
        """
        seen = self._node.view.get_order(self._group)
        if not self._result.sent and seen is None:
            return []
        is_settled = promotion_orders.is_settled(
            seen, primary, self._result, clock.now(), has_new_term
        )
        return [self._order_key] if is_settled else []

    def _log_outcome(self, outcome, target_id, **fields):
        self._log(outcome.value, target_id, **fields)
        return outcome

    def _log(self, message, target_id, **fields):
        logger.info(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "group": self._group,
                "target": target_id,
                "fence": self._fence,
                **fields,
            },
        )
