"""Fairness, limits and deadlines of the queue for a target's slots."""

import collections

import pytest

from geraniumridge._internal.decisions import fairqueue
from geraniumridge._internal import exceptions


def test_flood_of_one_team_does_not_delay_the_others():
    queue = fairqueue.FairQueue(1000)
    for number in range(500):
        queue.push("large", 1.0, 100.0, ("large", number))
    for number in range(10):
        queue.push("small", 1.0, 100.0, ("small", number))
    served = [queue.pop(0.0)[0] for _ in range(22)]
    assert served.count("small") == 10


def test_teams_are_served_in_proportion_to_their_weights():
    queue = fairqueue.FairQueue(1000)
    for number in range(300):
        queue.push("gold", 3.0, 100.0, "gold")
        queue.push("plain", 1.0, 100.0, "plain")
    served = collections.Counter(queue.pop(0.0) for _ in range(200))
    assert served["gold"] == pytest.approx(150, abs=2)


def test_requests_of_a_team_stay_in_order_and_expired_ones_are_dropped():
    queue = fairqueue.FairQueue(10)
    queue.push("t", 1.0, 1.0, "late")
    queue.push("t", 1.0, 9.0, "first")
    queue.push("t", 1.0, 9.0, "second")
    assert [queue.pop(2.0) for _ in range(3)] == ["first", "second", None]


def test_full_queue_of_a_team_refuses_only_that_team():
    queue = fairqueue.FairQueue(2)
    queue.push("t", 1.0, 9.0, 1)
    queue.push("t", 1.0, 9.0, 2)
    with pytest.raises(exceptions.OverloadedError):
        queue.push("t", 1.0, 9.0, 3)
    queue.push("u", 1.0, 9.0, 4)


def test_idle_team_gains_no_credit():
    queue = fairqueue.FairQueue(1000)
    for _ in range(100):
        queue.push("busy", 1.0, 99.0, "busy")
        queue.pop(0.0)
    for _ in range(10):
        queue.push("idle", 1.0, 99.0, "idle")
        queue.push("busy", 1.0, 99.0, "busy")
    served = collections.Counter(queue.pop(0.0) for _ in range(10))
    assert abs(served["idle"] - served["busy"]) <= 2
