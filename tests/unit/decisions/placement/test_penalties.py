"""Estimated latency of reads at targets."""

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions.placement import penalties
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records
from lib import fleets

LogPosition = records.LogPosition


def make_load(position=0, outstanding=0):
    target_load = load.TargetLoad()
    target_load.note_position(LogPosition(1, position), 0.0)
    for _ in range(outstanding):
        target_load.begin(0.0)
    return target_load


def estimate(target_load, domain="north", now=0.0, **fields):
    target = fleets.make_target("a", domain=domain, **fields)
    return penalties.estimate_wait_s(
        target_load, target, LogPosition(1, 5), "north", now
    )


def test_idle_caught_up_target_in_the_own_domain_is_preferred():
    best = estimate(make_load(5))
    assert best < estimate(make_load(5, outstanding=1))
    assert best < estimate(make_load(4))
    assert best < estimate(make_load(5), domain="south")
    assert best < estimate(make_load(5), role=desired.Role.PRIMARY)
    assert best == estimate(make_load(4), now=1.0)


def test_target_in_another_region_costs_its_round_trip():
    def estimate_distant(round_trip_s):
        target = fleets.make_target("a", domain="south")
        return penalties.estimate_wait_s(
            make_load(5),
            target,
            LogPosition(1, 5),
            "north",
            0.0,
            round_trip_s=round_trip_s,
        )

    near = estimate(make_load(5), domain="south")
    assert estimate_distant(0.0) == estimate_distant(0.005) == near
    longer_s = 0.1 - penalties.OTHER_DOMAIN_PENALTY_S
    assert abs(estimate_distant(0.1) - near - longer_s) < 1e-9


def test_target_with_a_stalled_call_comes_last():
    stalled = estimate(make_load(5, outstanding=1), now=1.0)
    assert stalled > estimate(make_load(4, outstanding=6), now=0.0)


def test_silence_is_measured_from_the_last_answer():
    target_load = make_load()
    assert target_load.get_silent_s(9.0) == 0.0
    first = target_load.begin(1.0)
    target_load.begin(2.0)
    assert target_load.get_silent_s(3.0) == 2.0
    target_load.end(first, 3.0, is_answered=True)
    assert target_load.get_silent_s(3.5) == 0.5
    target_load = make_load()
    target_load.note_failure(1.0)
    target_load.note_failure(2.0)
    assert target_load.get_silent_s(2.5) == 1.5


def test_target_backs_off_after_failures_until_an_answer():
    target_load = make_load()
    target_load.note_failure(10.0)
    assert target_load.is_backing_off(10.1)
    assert target_load.failing_since == 10.0
    target_load.note_failure(10.4)
    assert target_load.failures == 2
    assert target_load.failing_since == 10.0
    target_load.note_answer(10.4)
    assert not target_load.is_backing_off(10.5)
