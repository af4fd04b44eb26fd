"""Load and health of a target, as one VM observes them."""

from geraniumridge._internal.decisions import load


def refuse(target_load, now):
    """Refuse a statement as overloaded, with the longest delay."""
    target_load.note_overloaded(now, now, 1.0)


def find_delay_s(target_load, now):
    """Return how long the target is avoided from now on, in seconds."""
    delay_s = 0.0
    while target_load.is_overloaded(now + delay_s):
        delay_s += 0.01
    return delay_s


def test_delay_grows_while_an_overloaded_target_keeps_refusing():
    target_load = load.TargetLoad()
    now = 0.0
    delays = []
    for _ in range(8):
        refuse(target_load, now)
        delays.append(find_delay_s(target_load, now))
        now += delays[-1]
    assert delays == sorted(delays)
    assert delays[0] < 2 * load.FIRST_OVERLOAD_DELAY_S
    assert abs(delays[-1] - load.MAX_OVERLOAD_DELAY_S) < 0.02


def test_refusals_of_statements_sent_before_the_delay_do_not_prolong_it():
    target_load = load.TargetLoad()
    for number in range(20):
        target_load.note_overloaded(0.0, 0.1 * number, 1.0)
    assert not target_load.is_overloaded(0.1)


def test_one_success_of_an_overloaded_target_keeps_most_of_the_delay():
    target_load = load.TargetLoad()
    now = 0.0
    for _ in range(5):
        refuse(target_load, now)
        now += load.MAX_OVERLOAD_DELAY_S
    target_load.note_accepted()
    refuse(target_load, now)
    assert find_delay_s(target_load, now) > 4 * load.FIRST_OVERLOAD_DELAY_S


def test_target_that_serves_again_is_used_at_once():
    target_load = load.TargetLoad()
    refuse(target_load, 0.0)
    for _ in range(5):
        target_load.note_accepted()
    refuse(target_load, 1.0)
    assert find_delay_s(target_load, 1.0) < 2 * load.FIRST_OVERLOAD_DELAY_S


def test_occupancy_is_the_average_of_the_outstanding_calls():
    """A momentary number is 0 most of the time at a VM with few calls."""
    target_load = load.TargetLoad()
    for number in range(100):
        call = target_load.begin(number * 0.1)
        target_load.end(call, number * 0.1 + 0.05, is_answered=True)
    assert 0.35 < target_load.get_occupancy(9.95) < 0.65
    assert target_load.outstanding == 0
    assert target_load.answered_calls == 100
    assert 0.99 < target_load.get_latency_age_s(10.95) < 1.01
    assert target_load.get_occupancy(20.0) < 0.001


def test_occupancy_of_an_unused_target_is_zero():
    target_load = load.TargetLoad()
    assert target_load.get_occupancy(5.0) == 0.0
    target_load.begin(5.0)
    assert target_load.get_occupancy(5.0) == 0.0
    assert target_load.get_occupancy(50.0) > 0.999
