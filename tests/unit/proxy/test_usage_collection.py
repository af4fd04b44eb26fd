"""Collection of counts in a fleet on a simulated clock."""

import logging

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest
import trio

from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.network import datagrams
from lib import usage_fleet

CLOCK_ERROR_S = 0.06
"""Requests this near to the bounds of a window may count in the next one."""

WINDOWS = range(1, 6)
"""Windows of which results are checked; the first begins before the VMs."""

LOAD_END_S = 32.0

DOMAINS = ("north", "south")


async def start_fleet(simulation, count, clock_errors=()):
    """Start VMs in two domains, half of them in each."""
    errors = list(clock_errors) + [0.0] * count
    for number in range(count):
        await simulation.start(
            f"vm-{number}",
            DOMAINS[number % 2],
            clock_error_s=errors[number],
        )


def start_load(simulation, rates):
    """Count requests of each team at each VM at steady rates."""
    for name in simulation.vms:
        for team, per_s in rates.items():
            simulation.nursery.start_soon(
                simulation.run_load, name, team, per_s, LOAD_END_S
            )


def is_within(simulation, result, window):
    """Return whether a report is within the tolerance.

    A small team, of which one request exceeds it, may lack one request of
    each VM that was killed.
    """
    tolerance = simulation.settings.tolerance
    begin = window * simulation.settings.window_s
    end = begin + simulation.settings.window_s
    least = simulation.count_between(
        begin + CLOCK_ERROR_S, end - CLOCK_ERROR_S
    )
    most = simulation.count_between(begin - CLOCK_ERROR_S, end + CLOCK_ERROR_S)
    for team in most.keys() | result.counts.keys():
        is_small = least[team] * tolerance < 1.0
        missing = simulation.killed if is_small else least[team] * tolerance
        count = result.counts.get(team, 0)
        if not least[team] - missing <= count <= most[team]:
            return False
    return True


def check_results(simulation, results):
    """Check that reports are right, and return the windows reported."""
    reported = []
    for window, result in results.items():
        assert result is not None, f"window {window} is not decided"
        if isinstance(result, reports.UsageReport):
            assert is_within(simulation, result, window), (window, result)
            reported.append(window)
    return reported


@pytest.mark.parametrize("count", [1, 2, 7])
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_all_windows_are_reported_without_faults_of_vms(count, loss):
    """Lost and repeated datagrams neither miss nor double a count."""

    async def test(simulation):
        await start_fleet(simulation, count)
        start_load(simulation, {"a": 20.0, "b": 0.4})
        results = await simulation.collect_results(WINDOWS)
        assert check_results(simulation, results) == list(WINDOWS)

    faults = usage_fleet.Faults(loss=loss, repetition=0.1, max_delay_s=0.04)
    usage_fleet.run(test, seed=count, faults=faults)


@pytest.mark.parametrize("jump_s", [-6.0, 3.0])
def test_clocks_that_are_off_and_jump_change_nothing(jump_s):
    """Two of seven clocks are wrong, one of them the reporter's."""

    async def test(simulation):
        await start_fleet(simulation, 7, [2.0, 0.01, -0.01, -40.0])
        start_load(simulation, {"a": 20.0})

        async def jump():
            await trio.sleep(11.0)
            simulation.vms["vm-0"].clock_error_s += jump_s
            await trio.sleep(9.0)
            simulation.vms["vm-0"].clock_error_s -= jump_s

        simulation.nursery.start_soon(jump)
        results = await simulation.collect_results(WINDOWS)
        assert check_results(simulation, results) == list(WINDOWS)

    usage_fleet.run(test)


def test_killed_vm_of_a_large_domain_prevents_no_report():
    """Only the last moments of one VM of twenty are missing."""

    async def test(simulation):
        await start_fleet(simulation, 20)
        start_load(simulation, {"a": 10.0})
        simulation.nursery.start_soon(kill_at, simulation, "vm-3", 12.0, None)
        results = await simulation.collect_results(WINDOWS)
        assert check_results(simulation, results) == list(WINDOWS)

    usage_fleet.run(test)


def test_window_of_a_domain_that_is_cut_off_is_skipped():
    """Nobody knows what its VMs count meanwhile."""

    async def test(simulation):
        await start_fleet(simulation, 6)
        start_load(simulation, {"a": 10.0})

        async def cut_off():
            await trio.sleep(11.0)
            for vm in simulation.vms.values():
                vm.is_cut_off = vm.member.domain == "south"

        simulation.nursery.start_soon(cut_off)
        results = await simulation.collect_results(WINDOWS)
        assert check_results(simulation, results) == [1]
        assert results[2].reason == reports.MISSING_COUNTS

    usage_fleet.run(test)


def test_successor_of_the_reporter_reports_the_windows_before_it():
    """The collectors send it what they sent to its predecessor."""

    async def test(simulation):
        await start_fleet(simulation, 4)
        start_load(simulation, {"a": 10.0})
        await trio.sleep(16.0)
        simulation.reporter = "vm-1"
        for vm in simulation.vms.values():
            vm.set_reporter("vm-1")
        results = await simulation.collect_results(range(1, 4))
        assert check_results(simulation, results) == [1, 2, 3]

    usage_fleet.run(test)


def test_messages_stay_within_a_datagram_with_hundreds_of_teams():
    """Counts of 1,500 teams take several parts, at VM and collector."""
    teams = [f"team-with-a-long-name-{number:06}" for number in range(1_500)]

    async def test(simulation):
        await start_fleet(simulation, 3)
        await trio.sleep(5.5)
        for vm in simulation.vms.values():
            for team in teams:
                vm.count(team)
        results = await simulation.collect_results(range(1, 2))
        assert results[1].counts == dict.fromkeys(teams, 3)
        assert simulation.sent_messages["UsageCounts"] > 9

    usage_fleet.run(test, teams=teams)


FIRST_WINDOW = round(usage_fleet.EPOCH / usage_fleet.SETTINGS.window_s)


def make_message(window, teams, **fields):
    """Return counts of a VM for a window, by the start of the simulation."""
    values = {
        "number": 1,
        "vm": "vm-1",
        "boot": "1",
        "window": FIRST_WINDOW + window,
        "sequence": 1,
        "part": 0,
        "parts": 1,
        "covered_ms": 5_000,
        "is_final": False,
        "counts": msgspec.msgpack.encode(teams),
    }
    return datagrams.messages.UsageCounts(**{**values, **fields})


@pytest.mark.parametrize(
    "message, reason",
    [
        (make_message(1, {"x": 5}), "unknown team"),
        (make_message(6, {"a": 5}), "window in the future"),
        (make_message(-9, {"a": 5}), "window long past"),
        (make_message(2**40, {"a": 5}), "window in the future"),
        (make_message(1, {"a": -5}), "unreadable counts"),
        (make_message(1, {"a": 2**50}), "unreadable counts"),
        (make_message(1, {}, counts=b"\xff\x00"), "unreadable counts"),
        (make_message(1, {"a": 5}, part=1), "invalid part or sender"),
        (make_message(1, {"a": 5}, parts=2**30), "invalid part or sender"),
        (make_message(1, {"a": 5}, sequence=-1), "invalid part or sender"),
        (
            make_message(1, {"a": 5}, covered_ms=2**60),
            "covered time out of bounds",
        ),
    ],
)
def test_invalid_counts_are_refused_and_affect_nothing_else(
    message, reason, caplog
):
    """The report is that of the other counts, and one log line says why."""

    async def test(simulation):
        await start_fleet(simulation, 4)
        start_load(simulation, {"a": 10.0})
        await trio.sleep(7.0)
        for vm in simulation.vms.values():
            for _ in range(3):
                data = datagrams.encode(message)
                vm.deliver(data, ("127.0.0.1", 1))
        results = await simulation.collect_results(range(1, 3))
        assert check_results(simulation, results) == [1, 2]
        for vm in simulation.vms.values():
            assert vm.metrics.counters["usage_refused_messages"] == 3

    with caplog.at_level(logging.WARNING):
        usage_fleet.run(test)
    reasons = [getattr(record, "why", None) for record in caplog.records]
    assert reasons == [reason] * 4


def test_vms_without_requests_send_little():
    """One message a window, and no more while nothing is counted."""

    async def test(simulation):
        await start_fleet(simulation, 10)
        await trio.sleep(5.5)
        simulation.sent_messages.clear()
        simulation.sent_bytes.clear()
        await trio.sleep(20.0)
        assert simulation.sent_messages["UsageCounts"] == 10 * 4
        assert simulation.sent_bytes["UsageCounts"] < 10 * 4 * 150

    usage_fleet.run(test)


async def kill_at(simulation, name, at, restart_after_s):
    """Kill a VM, and start it again unless that is None."""
    await trio.sleep(at)
    domain = simulation.vms[name].member.domain
    await simulation.kill(name)
    if restart_after_s is not None:
        await trio.sleep(restart_after_s)
        await simulation.start(name, domain, boot=f"after-{at}")


kills = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.floats(4.0, 30.0),
        st.one_of(st.none(), st.floats(0.1, 8.0)),
    ),
    max_size=2,
    unique_by=lambda item: item[0],
)
jumps = st.lists(
    st.tuples(st.integers(0, 6), st.floats(2.0, 25.0), st.floats(-8.0, 8.0)),
    max_size=2,
)


@given(
    seed=st.integers(0, 2**16),
    count=st.integers(2, 7),
    kills=kills,
    jumps=jumps,
    clock_error_s=st.floats(-0.02, 0.02),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
    repetition=st.sampled_from([0.0, 0.3]),
    max_delay_s=st.sampled_from([0.001, 0.04]),
    rates=st.fixed_dictionaries(
        {"a": st.floats(5.0, 30.0), "b": st.floats(0.1, 2.0)}
    ),
)
@settings(
    max_examples=25,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
def test_report_is_within_tolerance_or_absent(
    seed,
    count,
    kills,
    jumps,
    clock_error_s,
    loss,
    repetition,
    max_delay_s,
    rates,
):
    """VMs die, start again, and their messages are lost, late or repeated.

    The oracle is the list of all requests with their true times.
    """

    async def jump_at(simulation, number, at, jump_s):
        await trio.sleep(at)
        simulation.vms[f"vm-{number}"].clock_error_s += jump_s

    async def test(simulation):
        await start_fleet(simulation, count, [clock_error_s, -clock_error_s])
        start_load(simulation, rates)
        for number, at, restart_after_s in kills:
            if number < count:
                name = f"vm-{number}"
                simulation.nursery.start_soon(
                    kill_at, simulation, name, at, restart_after_s
                )
        for number, at, jump_s in jumps:
            if number < count:
                simulation.nursery.start_soon(
                    jump_at, simulation, number, at, jump_s
                )
        results = await simulation.collect_results(WINDOWS)
        check_results(simulation, results)

    faults = usage_fleet.Faults(loss, repetition, max_delay_s)
    usage_fleet.run(test, seed, faults)
