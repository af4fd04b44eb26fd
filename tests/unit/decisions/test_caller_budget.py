"""Budget of callers: bounds, who is closed for room, defaults."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal.decisions import caller_budget
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import session

Kind = caller_budget.Kind
BOUNDS = caller_budget.CallerBounds(
    total_bytes=100, connection_bytes=60, state_bytes=50, max_connections=3
)


def open_accounts(budget, count, now=0.0):
    """Open accounts of connections with a session."""
    accounts = []
    for _ in range(count):
        account, _ = budget.open(now)
        budget.note_started(account)
        accounts.append(account)
    return accounts


def test_no_more_is_held_than_the_budget():
    budget = caller_budget.CallerBudget(BOUNDS)
    first, second = open_accounts(budget, 2)
    assert budget.try_hold(first, Kind.RECEIVED, 60)
    assert not budget.try_hold(second, Kind.ANSWER, 41)
    assert budget.try_hold(second, Kind.ANSWER, 40)
    budget.close(first)
    assert budget.total == 40


def test_connection_beyond_its_own_bound_is_an_error():
    budget = caller_budget.CallerBudget(BOUNDS)
    (account,) = open_accounts(budget, 1)
    assert budget.try_hold(account, Kind.STATE, 50)
    with pytest.raises(exceptions.CallerBoundError):
        budget.try_hold(account, Kind.RECEIVED, 11)


def test_the_stalled_connection_that_holds_most_is_closed_first():
    """Closing by age or at random would hit ordinary callers."""
    budget = caller_budget.CallerBudget(BOUNDS)
    small, large, busy = open_accounts(budget, 3)
    for account, count in ((small, 10), (large, 30), (busy, 60)):
        assert budget.try_hold(account, Kind.RECEIVED, count)
    busy.is_running = True
    assert budget.choose_shed(caller_budget.STALL_S, 30) is large
    # No further one, as closing the first makes enough room.
    assert budget.choose_shed(caller_budget.STALL_S, 30) is None
    assert budget.choose_shed(caller_budget.STALL_S, 31) is small
    budget.close(large)
    budget.close(small)
    assert budget.choose_shed(caller_budget.STALL_S, 41) is None


def test_none_is_closed_where_too_little_room_would_be_made():
    """Stalled callers were closed in vain for what a busy one holds."""
    budget = caller_budget.CallerBudget(BOUNDS)
    small, busy = open_accounts(budget, 2)
    assert budget.try_hold(small, Kind.RECEIVED, 40)
    assert budget.try_hold(busy, Kind.RECEIVED, 60)
    busy.is_running = True
    assert budget.choose_shed(caller_budget.STALL_S, 41) is None
    assert budget.choose_shed(caller_budget.STALL_S, 40) is small


def test_session_with_little_state_is_not_closed():
    """Ordinary idle sessions were closed for what others hold."""
    floor = caller_budget.SHED_STATE_BYTES
    budget = caller_budget.CallerBudget(
        caller_budget.CallerBounds(4 * floor, 4 * floor, 4 * floor, 3)
    )
    little, much = open_accounts(budget, 2)
    assert budget.try_hold(little, Kind.STATE, floor - 1)
    assert budget.try_hold(much, Kind.STATE, floor)
    added = 3 * floor
    assert budget.choose_shed(caller_budget.STALL_S, added) is much
    budget.close(much)
    assert budget.choose_shed(caller_budget.STALL_S, 4 * floor) is None


def test_connection_that_makes_progress_is_not_closed():
    budget = caller_budget.CallerBudget(BOUNDS)
    (account,) = open_accounts(budget, 1)
    assert budget.try_hold(account, Kind.RECEIVED, 60)
    account.progressed_at = 10.0
    assert budget.choose_shed(10.1, 41) is None


def test_idle_session_is_never_closed():
    budget = caller_budget.CallerBudget(BOUNDS)
    open_accounts(budget, 3)
    assert budget.choose_shed(1e6, 101) is None
    assert budget.open(1e6) == (None, None)


def test_connection_without_a_session_gives_way_at_the_bound():
    """A crowd half-way through startup would keep callers out."""
    budget = caller_budget.CallerBudget(BOUNDS)
    open_accounts(budget, 2)
    waiting, _ = budget.open(0.0)
    assert budget.open(0.1) == (None, None)
    account, evicted = budget.open(caller_budget.STARTUP_GRACE_S)
    assert account is not None
    assert evicted is waiting
    budget.close(evicted)
    assert budget.connection_count == 3


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "hold", "close", "shed"]),
            st.integers(0, 3),
            st.sampled_from(list(Kind)),
            st.integers(0, 80),
        ),
        max_size=60,
    )
)
def test_sums_stay_right_and_within_the_bounds(steps):
    budget = caller_budget.CallerBudget(BOUNDS)
    accounts = []
    for now, (step, index, kind, count) in enumerate(steps):
        if step == "open":
            account, evicted = budget.open(float(now))
            if account is not None:
                accounts.append(account)
            if evicted is not None:
                accounts.remove(evicted)
                budget.close(evicted)
        elif step == "shed":
            chosen = budget.choose_shed(float(now), 101)
            if chosen is not None:
                accounts.remove(chosen)
                budget.close(chosen)
        elif index < len(accounts):
            account = accounts[index]
            if step == "close":
                accounts.remove(account)
                budget.close(account)
            else:
                try:
                    budget.try_hold(account, kind, count)
                except exceptions.CallerBoundError:
                    pass
        assert budget.total == sum(account.held for account in accounts)
        assert budget.total <= BOUNDS.total_bytes
        assert all(
            sum(account.amounts) == account.held <= BOUNDS.connection_bytes
            for account in accounts
        )
        assert budget.connection_count == len(accounts)
        assert len(accounts) <= BOUNDS.max_connections
    for account in accounts:
        budget.close(account)
        assert account.held == 0
    assert budget.total == 0


@pytest.mark.parametrize("memory_mb", [None, 200.0, 4000.0])
def test_no_caller_inside_the_limits_meets_the_defaults(memory_mb):
    settings = proxy_settings.CallerSettings(
        memory_mb=memory_mb, max_descriptors=4_300
    )
    bounds = caller_budget.derive_bounds(settings, 1_048_576)
    assert bounds.max_connections >= 3_000
    assert bounds.max_connections <= 4_300 - 200 - 1_000
    message = caller_budget.MESSAGE_WEIGHT * caller_budget.round_up(
        caller_budget.MIB + caller_budget.STEP_BYTES
    )
    rows = caller_budget.ANSWER_WEIGHT * 2 * caller_budget.MIB
    # One character beyond the 16-bit range widens all of a text.
    text = "\U0001f600" + "a" * (caller_budget.MIB - 5)
    assert session.count_entry_bytes("a", text) <= bounds.state_bytes
    held = message + rows + bounds.state_bytes
    assert held <= bounds.connection_bytes <= bounds.total_bytes


def test_fewer_descriptors_than_the_settings_name_bound_connections():
    settings = proxy_settings.CallerSettings(max_descriptors=4_300)
    bounds = caller_budget.derive_bounds(settings, 1_000)
    assert bounds.max_connections == 600
