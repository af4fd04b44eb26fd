"""Round trips to other VMs, and the time limits that follow from them."""

import random

import pytest

from geraniumridge._internal.decisions.distance import estimates
from geraniumridge._internal.decisions.distance import prefetch
from geraniumridge._internal.decisions import token_bucket

FLOOR_S = 0.02
REGIONS = {
    "north": "east",
    "east-2": "east",
    "south": "west",
    "far": "overseas",
}


def make_distances(domains=None):
    """Return a VM's distances; the VMs are named after their domains."""
    domains = {} if domains is None else domains

    def find_domain(vm):
        return domains.get(vm, vm.partition("/")[0])

    return estimates.Distances("north", REGIONS, find_domain)


def note_all(distances, vm, samples, began_at=0.0):
    """Add samples 0.1 s apart."""
    for number, seconds in enumerate(samples):
        distances.note_round_trip(vm, seconds, began_at + number / 10)


def test_first_estimate_serves_another_region_fifty_ms_away():
    timeout_s = make_distances().get_timeout_s("south/1", FLOOR_S)
    assert 0.1 + FLOOR_S <= timeout_s <= 0.25


@pytest.mark.parametrize("vm", ["north/1", "east-2/1"])
def test_time_limits_within_the_region_never_change(vm):
    """Deployments with one region are served as before."""
    distances = make_distances()
    note_all(distances, vm, [0.001, 0.09, 0.5])
    for _ in range(5):
        distances.note_timeout(vm)
    assert distances.get_timeout_s(vm, FLOOR_S) == FLOOR_S
    domain = vm.partition("/")[0]
    distances.note_connect(domain, 0.2, 1.0)
    assert distances.get_connect_timeout_s(domain, 0.3) == 0.3
    assert distances.get_added_s(domain) == 0
    assert distances.get_least_s(domain) == 0
    assert distances.get_longest_s(["north", "east-2"]) == 0


def test_deployment_without_regions_is_one_region():
    distances = estimates.Distances("north", {}, lambda vm: "south")
    assert distances.get_timeout_s("vm", FLOOR_S) == FLOOR_S


def test_vm_that_is_not_a_member_gets_the_floor():
    distances = estimates.Distances("north", REGIONS, lambda vm: None)
    distances.note_round_trip("vm", 0.04, 1.0)
    distances.note_timeout("vm")
    assert distances.get_timeout_s("vm", FLOOR_S) == FLOOR_S


def test_learned_limit_is_the_round_trip_and_the_floor():
    distances = make_distances()
    note_all(distances, "south/1", [0.04] * 30)
    assert distances.get_timeout_s("south/1", FLOOR_S) == pytest.approx(0.06)
    assert distances.get_timeout_s("south/1", 0.5) == pytest.approx(0.54)
    # Another VM of the domain has no sample of its own.
    other = distances.get_timeout_s("south/2", FLOOR_S)
    assert 0.06 <= other <= 0.125


def test_varying_round_trips_get_a_longer_limit():
    distances = make_distances()
    note_all(distances, "south/1", [0.04, 0.06] * 20)
    assert distances.get_timeout_s("south/1", FLOOR_S) > 0.08


def test_caller_that_can_wait_less_gets_less_but_never_below_the_floor():
    distances = make_distances()
    note_all(distances, "south/1", [0.04] * 30)
    assert distances.get_timeout_s("south/1", FLOOR_S, 0.05) == 0.05
    assert distances.get_timeout_s("south/1", FLOOR_S, 0.01) == FLOOR_S


def test_time_outs_of_a_cut_domain_are_no_samples():
    distances = make_distances()
    note_all(distances, "south/1", [0.04] * 30)
    distances.note_timeout("south/1")
    # A single datagram may be lost.
    assert distances.get_timeout_s("south/1", FLOOR_S) == pytest.approx(0.06)
    for _ in range(1_000):
        distances.note_timeout("south/1")
    assert distances.get_round_trip_s("south") == pytest.approx(0.04)
    assert distances.get_timeout_s("south/1", FLOOR_S) == pytest.approx(0.24)
    assert distances.get_timeout_s("south/1", FLOOR_S, 0.2) == 0.2
    distances.note_round_trip("south/1", 0.04, 10.0)
    assert distances.get_timeout_s("south/1", FLOOR_S) == pytest.approx(0.06)


def test_domain_that_never_answered_has_a_bounded_limit():
    distances = make_distances()
    for _ in range(1_000):
        distances.note_timeout("south/1")
    longest_s = FLOOR_S + estimates.MAX_ADDED_S
    assert distances.get_timeout_s("south/1", FLOOR_S) <= longest_s


def test_restarted_vm_is_slow_at_first_only():
    distances = make_distances()
    note_all(distances, "south/1", [0.04] * 30)
    for _ in range(10):
        distances.note_timeout("south/1")
    note_all(distances, "south/1", [0.3, 0.2], 10.0)
    note_all(distances, "south/1", [0.04] * 30, 11.0)
    assert distances.get_timeout_s("south/1", FLOOR_S) < 0.08


def test_vm_that_returns_after_long_starts_anew():
    distances = make_distances()
    note_all(distances, "south/1", [0.2] * 30)
    distances.note_round_trip("south/1", 0.04, 1_000.0)
    assert distances.get_vm_round_trip_s("south/1") == 0.04


def test_vm_that_returns_in_another_domain_has_no_former_estimate():
    domains = {"vm": "south"}
    distances = make_distances(domains)
    note_all(distances, "vm", [0.01] * 30)
    domains["vm"] = "far"
    assert distances.get_vm_round_trip_s("vm") == estimates.FIRST_ROUND_TRIP_S
    distances.note_round_trip("vm", 0.08, 9.0)
    assert distances.get_vm_round_trip_s("vm") == 0.08
    domains["vm"] = "north"
    assert distances.get_vm_round_trip_s("vm") == 0.0


def test_route_that_changes_from_1_to_45_ms_and_back():
    """One late answer is enough to wait for the next."""
    distances = make_distances()
    note_all(distances, "south/1", [0.002] * 30)
    assert distances.get_timeout_s("south/1", FLOOR_S) < 0.03
    distances.note_round_trip("south/1", 0.09, 4.0)
    assert distances.get_timeout_s("south/1", FLOOR_S) > 0.09
    note_all(distances, "south/1", [0.09] * 30, 4.1)
    assert distances.get_round_trip_s("south") > 0.06
    note_all(distances, "south/1", [0.002] * 40, 8.0)
    assert distances.get_timeout_s("south/1", FLOOR_S) < 0.03


def test_slow_vm_does_not_determine_its_domain():
    distances = make_distances()
    for step in range(200):
        now = step / 10
        distances.note_round_trip("south/slow", 1.0, now)
        for number in range(4):
            distances.note_round_trip(f"south/{number}", 0.04, now)
    assert distances.get_round_trip_s("south") == pytest.approx(0.04)
    assert distances.get_timeout_s("south/1", FLOOR_S) < 0.07
    assert distances.get_timeout_s("south/new", FLOOR_S) < 0.25


def test_three_regions_have_estimates_of_their_own():
    distances = make_distances()
    note_all(distances, "south/1", [0.02] * 30)
    note_all(distances, "far/1", [0.09] * 30)
    assert distances.get_timeout_s("south/1", FLOOR_S) < 0.05
    assert distances.get_timeout_s("far/1", FLOOR_S) > 0.1
    assert distances.get_longest_s(["north", "south"]) == pytest.approx(0.02)
    assert distances.get_longest_s(REGIONS) == pytest.approx(0.09)
    assert distances.list_measured().keys() == {"south", "far"}


def test_number_of_estimates_is_bounded(monkeypatch):
    monkeypatch.setattr(estimates, "MAX_VMS", 10)
    distances = make_distances()
    for number in range(50):
        distances.note_round_trip(f"south/{number}", 0.04, number)
    assert len(distances._vms) == 10


def test_connect_teaches_the_distance_of_a_domain_without_vms():
    distances = make_distances()
    first_s = distances.get_connect_timeout_s("far", 0.3)
    assert first_s == 0.3 + 2 * estimates.FIRST_ROUND_TRIP_S
    assert distances.get_least_s("far") == 0.0
    for number in range(40):
        distances.note_connect("far", 0.08, number)
    assert distances.get_connect_timeout_s("far", 0.3) == pytest.approx(0.38)
    assert distances.get_least_s("far") == pytest.approx(0.04)
    for number in range(40, 90):
        distances.note_connect("far", 5.0, number)
    assert distances.get_connect_timeout_s("far", 0.3) == pytest.approx(0.6)


def make_stock(held=0, requested=0, awaiting=0):
    return prefetch.Stock(held, requested, awaiting)


def test_calm_vm_requests_tokens_for_waiting_operations_only():
    """Most of the tokens that it requested ahead would expire unused."""
    count = prefetch.count_tokens_to_request
    assert count(make_stock(), 1.0, 0.04, True) == 0
    assert count(make_stock(awaiting=1), 1.0, 0.04, True) == 1
    assert count(make_stock(requested=1, awaiting=1), 1.0, 0.04, True) == 0
    assert count(make_stock(requested=1, awaiting=3), 1.0, 0.04, True) == 2


def test_busy_vm_requests_before_it_has_none():
    count = prefetch.count_tokens_to_request
    assert count(make_stock(held=5), 100.0, 0.04, True) > 0
    assert count(make_stock(held=5), 100.0, 0.04, False) == 0
    assert count(make_stock(awaiting=1), 100.0, 0.04, False) == 1
    assert count(make_stock(held=2, requested=9), 100.0, 0.04, True) == 0
    assert count(make_stock(), 1e9, 0.04, True) == prefetch.MAX_REQUESTED


def test_tokens_that_would_arrive_expired_are_not_requested_ahead():
    late_s = token_bucket.GRANT_LIFETIME_S
    assert (
        prefetch.count_tokens_to_request(make_stock(), 1e3, late_s, True) == 0
    )


@pytest.mark.parametrize("round_trip_s", [0.04, 0.1])
@pytest.mark.parametrize("rate", [4.0, 20.0, 100.0])
def test_few_operations_wait_and_few_tokens_expire(rate, round_trip_s):
    """Operations arrive at random; the limiter grants all requests."""
    random_source = random.Random(7)
    local_tokens = token_bucket.LocalTokens()
    meter = token_bucket.RateMeter(0.0, 1.0)
    in_flight = []
    granted = waited = operations = awaiting = 0
    now = 0.0
    while now < 200.0:
        now += random_source.expovariate(rate)
        while in_flight and in_flight[0][0] <= now:
            arrives_at, tokens = in_flight.pop(0)
            sent_at = arrives_at - round_trip_s
            used = min(tokens, awaiting)
            awaiting -= used
            local_tokens.add(
                tokens - used, sent_at + token_bucket.GRANT_LIFETIME_S
            )
        operations += 1
        current_rate = meter.note(now)
        if not local_tokens.take(now):
            awaiting += 1
            waited += 1
        stock = make_stock(
            local_tokens.count(now),
            sum(tokens for _, tokens in in_flight),
            awaiting,
        )
        wanted = prefetch.count_tokens_to_request(
            stock, current_rate, round_trip_s, True
        )
        if wanted:
            granted += wanted
            in_flight.append((now + round_trip_s, wanted))
    if rate >= 20.0:
        assert waited < 0.15 * operations
        assert granted < 1.2 * operations
    assert granted < 1.6 * operations
