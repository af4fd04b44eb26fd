"""Choice of lenders, their limits, and the age of statements."""

import pytest

from geraniumridge._internal.decisions import connection_lending
from lib import fleets

TARGET = fleets.make_target("t-1")


def make_members(count, domain=TARGET.domain):
    return [
        fleets.make_member(f"vm-{number}")._replace(domain=domain)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("max_connections", "member_count", "expected"),
    [(21, 9, False), (32, 6, False), (56, 80, True), (70, 67, True)],
)
def test_connections_are_lent_where_not_every_vm_can_keep_one(
    max_connections, member_count, expected
):
    assert (
        connection_lending.are_lent(max_connections, member_count) is expected
    )


def test_lenders_are_of_the_domain_of_the_target():
    others = make_members(5, "elsewhere")
    assert connection_lending.list_lenders(TARGET, others, 56) == ()
    own = [
        member._replace(vm=f"own-{member.vm}") for member in make_members(9)
    ]
    lenders = connection_lending.list_lenders(TARGET, [*others, *own], 56)
    assert len(lenders) == connection_lending.LENDERS_PER_TARGET
    assert all(vm.startswith("own-") for vm in lenders)


def test_teams_are_spread_over_the_lenders():
    lenders = connection_lending.list_lenders(TARGET, make_members(20), 56)
    found = {
        connection_lending.find_lender(TARGET.id, f"team-{number}", lenders)
        for number in range(80)
    }
    assert found == set(lenders)
    assert connection_lending.find_lender(TARGET.id, "team", ()) is None


@pytest.mark.parametrize("max_connections", [1, 2, 3, 5, 39, 56, 1000])
@pytest.mark.parametrize("member_count", [1, 2, 20])
def test_lenders_together_leave_room_below_the_limit(
    max_connections, member_count
):
    """Guards against idle connections that fill a target up."""
    lenders = connection_lending.list_lenders(
        TARGET, make_members(member_count), max_connections
    )
    limits = connection_lending.compute_lender_limits(
        max_connections, len(lenders)
    )
    assert limits.max_open >= 1
    total = limits.max_open * len(lenders)
    assert total <= max(1, connection_lending.LENT_SHARE * max_connections)


def test_time_in_a_suspended_lender_counts():
    """Guards against statements that leave on knowledge that is too old."""
    clock = connection_lending.ForwardClock(granted_at=100.0)
    assert not clock.is_too_old(elapsed_s=5.0, now=105.01)
    assert clock.is_too_old(elapsed_s=5.0, now=106.0)


def test_lender_whose_clock_stood_still_passes_nothing_on():
    """Guards against a suspension that the lender's clock does not count."""
    clock = connection_lending.ForwardClock(granted_at=100.0)
    assert clock.is_too_old(elapsed_s=5.0, now=102.0)


def test_silent_lender_is_asked_less_and_less_often():
    health = connection_lending.LenderHealth()
    pauses = []
    now = 0.0
    for _ in range(6):
        health.note_failure("vm-1", now)
        since = now
        while not health.may_ask("vm-1", now):
            now += 0.125
        pauses.append(now - since)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    health.note_answer("vm-1")
    health.note_failure("vm-1", now)
    assert health.may_ask("vm-1", now + 0.5)


def test_one_request_at_a_time_probes_a_lender_that_failed():
    """Guards against all waiting statements losing the same time-out."""
    health = connection_lending.LenderHealth()
    health.note_failure("vm-1", 0.0)
    assert health.may_ask("vm-1", 0.5)
    assert not health.may_ask("vm-1", 0.5)


def test_requests_that_fail_together_count_once():
    health = connection_lending.LenderHealth()
    for _ in range(5_000):
        health.note_failure("vm-1", 0.0)
    assert health.may_ask("vm-1", 0.5)


def test_lender_that_never_answers_is_asked_for_ever():
    """Guards against an error after many failures in a row."""
    health = connection_lending.LenderHealth()
    for number in range(5_000):
        health.note_failure("vm-1", number * 10.0)
    assert health.may_ask("vm-1", 50_000.0)
