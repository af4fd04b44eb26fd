"""Order in which the targets that may serve a read are tried."""

import collections
import math
import random

import pytest

from geraniumridge._internal.decisions.placement import choice
from geraniumridge._internal.decisions.placement import penalties
from lib import fleets


def test_targets_are_ordered_by_wait_and_equal_ones_keep_their_order():
    """An order that changes would send reads to other targets than before."""
    candidates = [
        choice.Candidate(name, wait_s)
        for name, wait_s in (("a", 0.3), ("b", 0.1), ("c", 0.2), ("d", 0.1))
    ]
    assert choice.order_by_wait(candidates) == ["b", "d", "c", "a"]


def make_loaded(name, **fields):
    """Return an empty target that has just been observed."""
    values = {
        "target": name,
        "slots": 4,
        "latency_s": 0.02,
        "latency_age_s": 0.0,
        "penalty_s": 0.0,
        "connect_s": 0.0,
        "own": 0,
        "others": 0.0,
        "age_s": 0.0,
    }
    return choice.LoadedCandidate(**{**values, **fields})


def count_choices(candidates, rounds=2000):
    """Return how often each target is the first, of `rounds` draws."""
    random_source = random.Random(1)
    return collections.Counter(
        choice.order_by_draw(candidates, random_source)[0]
        for _ in range(rounds)
    )


def get_wait_s(candidates, name, unseen_ratio=0.0):
    """Return the estimated latency at a target."""
    (found,) = (
        item
        for item in choice.estimate_loads(candidates, unseen_ratio)
        if item.target == name
    )
    return found.wait_s


def test_order_names_each_target_once():
    """A target that is left out could not be used when others are full."""
    names = ["a", "b", "c", "d"]
    candidates = [make_loaded(name) for name in names]
    for seed in range(20):
        order = choice.order_by_draw(candidates, random.Random(seed))
        assert sorted(order) == names
    assert choice.order_by_draw(candidates[:1], random.Random(1)) == ["a"]
    assert choice.order_by_draw([], random.Random(1)) == []


def test_equal_targets_get_reads_by_their_slots():
    """Small targets would be overloaded by equal parts."""
    counts = count_choices([make_loaded("a", slots=4), make_loaded("b")])
    assert 0.9 < counts["a"] / counts["b"] < 1.1
    counts = count_choices([make_loaded("a", slots=12), make_loaded("b")])
    assert 2.5 < counts["a"] / counts["b"] < 3.5


def test_fuller_target_gets_fewer_reads():
    counts = count_choices(
        [make_loaded("a", others=3.0), make_loaded("b"), make_loaded("c")]
    )
    assert counts["a"] < 0.3 * counts["b"]


def test_older_observation_counts_less():
    """Otherwise VMs would follow loads that have long changed."""
    waits = [
        get_wait_s(
            [
                make_loaded("a", others=4.0, age_s=age_s),
                make_loaded("b", age_s=age_s),
            ],
            "a",
        )
        for age_s in (0.0, 0.5, 2.0, math.inf)
    ]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] > waits[1] > waits[2] > waits[3]


def test_target_without_an_observation_counts_as_full_as_the_mean():
    """One that seems empty for want of knowledge would get every read."""
    candidates = [
        make_loaded("a", others=4.0),
        make_loaded("b", others=2.0),
        make_loaded("c", age_s=math.inf),
    ]
    wait_s = get_wait_s(candidates, "c")
    assert get_wait_s(candidates, "b") < wait_s < get_wait_s(candidates, "a")


def test_target_of_another_domain_counts_as_full_as_its_own_vms_make_it():
    """It would seem empty, as the reports lack the calls of these VMs."""
    candidates = [
        make_loaded("a", others=2.0),
        make_loaded("b", is_partial=True),
    ]
    near_s = get_wait_s(candidates, "a")
    empty_s, half_s, same_s, double_s = (
        get_wait_s(candidates, "b", ratio) for ratio in (0.0, 0.5, 1.0, 2.0)
    )
    assert empty_s < half_s < near_s < double_s
    assert same_s == pytest.approx(near_s)


def test_queue_of_a_target_is_counted_by_its_latency_alone():
    """It is in the latency; counted twice, reads would move to and fro."""
    waits = [
        get_wait_s([make_loaded("a", others=calls)], "a")
        for calls in (2.0, 4.0, 12.0)
    ]
    assert waits[0] < waits[1] == waits[2]


def test_own_calls_since_the_observation_are_added():
    """A VM would send a burst to one target before it is told of it."""
    before = [make_loaded("a", others=2.0), make_loaded("b", others=2.0)]
    after = [make_loaded("a", others=2.0, own=3), before[1]]
    assert get_wait_s(after, "a") > get_wait_s(before, "a")
    counts = count_choices(after)
    assert counts["a"] < counts["b"]


def test_slow_target_gets_few_reads_and_is_tried_again():
    """One that was slow once must not be left out for good."""
    slow = make_loaded("a", latency_s=0.5)
    counts = count_choices([slow, make_loaded("b"), make_loaded("c")])
    assert 0 < counts["a"] < 100
    slow = slow._replace(latency_age_s=20.0)
    counts = count_choices([slow, make_loaded("b"), make_loaded("c")])
    assert counts["a"] > 500


@pytest.mark.parametrize(
    "penalty_s",
    [
        penalties.OTHER_DOMAIN_PENALTY_S,
        penalties.BEHIND_PENALTY_S,
        penalties.PRIMARY_PENALTY_S,
        penalties.STALLED_PENALTY_S,
    ],
)
def test_target_without_penalty_is_preferred_while_not_fuller(penalty_s):
    """One near target of many would lose most reads in a plain draw."""
    distant = [make_loaded(f"b-{n}", penalty_s=penalty_s) for n in range(8)]
    assert count_choices([make_loaded("a"), *distant]) == {"a": 2000}
    near = make_loaded("a", others=2.0)
    distant = [item._replace(others=2.0) for item in distant]
    assert count_choices([near, *distant]) == {"a": 2000}


def test_full_preferred_target_gives_a_share_of_the_reads_away():
    """All reads at once would only move the overload."""
    distant = [make_loaded(f"b-{n}", penalty_s=0.01) for n in range(8)]
    counts = count_choices([make_loaded("a", others=12.0), *distant])
    assert 400 < counts["a"] < 1600


def test_target_with_a_connection_is_preferred_a_little():
    counts = count_choices(
        [make_loaded("a"), make_loaded("b", connect_s=0.015)]
    )
    assert counts["a"] > counts["b"] > 100


def test_targets_are_drawn_in_large_fleets_with_few_slots_only():
    """Smaller deployments are served as before."""
    targets = [fleets.make_target(f"i-{number}") for number in range(3)]
    assert not choice.is_draw_needed(9, targets)
    assert not choice.is_draw_needed(9, targets[:1])
    assert choice.is_draw_needed(24, targets)
    large = [target._replace(slots=100) for target in targets]
    assert not choice.is_draw_needed(195, large)
    assert choice.is_draw_needed(540, large)


def test_partial_observations_are_used_if_there_are_no_others():
    """No target of the group is in the domain of the VM."""
    candidates = [
        make_loaded("a", others=4.0, is_partial=True),
        make_loaded("b", is_partial=True),
    ]
    assert get_wait_s(candidates, "b") < get_wait_s(candidates, "a")
