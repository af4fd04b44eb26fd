"""What an order to promote a target may still do after it was sent."""

import pytest

from geraniumridge._internal.decisions import promotion_orders
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import fleet

SEEN_AT = 100.0
EXPIRED_AT = SEEN_AT + promotion_orders.ORDER_LIFETIME_S + 0.1
SEEN = view.SeenOrder(fleet.PromotionOrder("i-1", 7, "vm-1"), SEEN_AT)
SendResult = promotion_orders.SendResult


@pytest.mark.parametrize(
    "target, fence, may_send",
    [("i-1", 7, True), ("i-2", 7, False), ("i-1", 8, False)],
)
def test_only_the_same_order_may_follow_until_it_expires(
    target, fence, may_send
):
    assert (
        promotion_orders.may_send(SEEN, target, fence, SEEN_AT + 1) == may_send
    )
    assert promotion_orders.may_send(SEEN, target, fence, EXPIRED_AT)
    assert promotion_orders.may_send(None, target, fence, SEEN_AT)


def test_another_target_becomes_primary_only_after_the_order_has_expired():
    may_become = promotion_orders.may_become_primary
    assert may_become(SEEN, "i-1", SEEN_AT)
    assert not may_become(SEEN, "i-2", SEEN_AT)
    assert may_become(SEEN, "i-2", EXPIRED_AT)


def test_old_primary_is_not_kept_after_an_order_for_another_target():
    assert promotion_orders.may_keep_primary(None, "i-0")
    assert promotion_orders.may_keep_primary(SEEN, "i-1")
    assert not promotion_orders.may_keep_primary(SEEN, "i-0")


@pytest.mark.parametrize(
    "sent, answered, primary, is_settled",
    [
        (1, 1, "i-1", True),
        (1, 0, "i-1", True),
        (1, 0, "i-2", False),
        (2, 1, "i-1", False),
        (2, 2, "i-1", True),
        (0, 0, "i-1", False),
    ],
)
def test_orders_without_an_answer_may_be_outstanding_after_a_failover(
    sent, answered, primary, is_settled
):
    result = SendResult(sent, answered, "i-1" if sent else "")
    assert (
        promotion_orders.is_settled(SEEN, primary, result, SEEN_AT)
        == is_settled
    )
    assert promotion_orders.is_settled(SEEN, primary, result, EXPIRED_AT)


def test_orders_in_doubt_count_before_the_view_shows_their_record():
    is_settled = promotion_orders.is_settled
    assert not is_settled(None, "i-1", SendResult(2, 0, "i-1"), SEEN_AT)
    assert is_settled(None, "i-1", SendResult(1, 0, "i-1"), SEEN_AT)
    assert is_settled(None, "i-1", SendResult(), SEEN_AT)
