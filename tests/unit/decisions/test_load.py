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
