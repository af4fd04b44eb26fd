"""What an order to promote a target may still do after it was sent.

The platform does not check fencing tokens, and it may carry an order out
seconds after its sender gave its answer up. Each order is therefore recorded
in the store, on condition that its sender still runs the failover, before it
is sent. Until it has expired, nobody sends a different order for the group,
and no other target becomes the group's primary.
"""

import typing

MAX_SEND_DELAY_S = 1.0
"""Longest time between the request that records an order and its sending."""

ORDER_LIFETIME_S = 15.0
"""Time, from when a VM sees the record of an order, after which the order
is no longer carried out."""


class SendResult(typing.NamedTuple):
    """What is known of the orders that one run of a failover has sent.

    `sent` counts them, `answered` those whose answer arrived; `target` is
    that of the newest.
    """

    sent: int = 0
    answered: int = 0
    target: str = ""


def find_outstanding(seen, now):
    """Return the order that may still be carried out, or None.

    Parameters
    ----------
    seen : view.SeenOrder or None
        The group's newest order.
    now : float
        Clock time, in seconds.

    Returns
    -------
    fleet.PromotionOrder or None
    """
    if seen is None or now - seen.seen_at > ORDER_LIFETIME_S:
        return None
    return seen.order


def may_send(seen, target_id, fence, now):
    """Return whether an order may be sent.

    One that repeats the outstanding order may: whichever is carried out
    last has no further effect.
    """
    outstanding = find_outstanding(seen, now)
    if outstanding is None:
        return True
    return (outstanding.target, outstanding.fence) == (target_id, fence)


def may_become_primary(seen, target_id, now):
    """Return whether a target that leads may be recorded as primary.

    Not while an order may still promote another one, as that one would
    lack the commits of this one.
    """
    outstanding = find_outstanding(seen, now)
    return outstanding is None or outstanding.target == target_id


def may_keep_primary(seen, old_target):
    """Return whether a failover may end without a change of primary.

    Not after an order for another target, even one that has expired: it may
    have been carried out, and its target be silent since.
    """
    return seen is None or seen.order.target == old_target


def is_settled(seen, primary, result, now, has_new_term=False):
    """Return whether no order can be carried out after a failover's end.

    Parameters
    ----------
    seen : view.SeenOrder or None
        The group's newest order.
    primary : str
        The target that leads at the end.
    result : SendResult
        The orders that the run which ends the failover has sent itself.
    now : float
        Clock time, in seconds.
    has_new_term : bool, optional
        Whether that target was promoted since the failover was recorded.
    """
    if seen is not None and find_outstanding(seen, now) is None:
        return True
    if not result.sent:
        if seen is None:
            return True
        return has_new_term and _is_only_order(seen.order, primary)
    # A single order that went unanswered is done once its target leads.
    is_done = result.sent == 1 and result.target == primary
    return is_done or result.answered == result.sent


def _is_only_order(order, primary):
    """Return whether a failover has sent no order but one for its primary.

    Another VM may have sent it. Each order is recorded before it is sent, and
    none is recorded any more once the failover is taken over.
    """
    return order.attempt == 1 and order.target == primary
