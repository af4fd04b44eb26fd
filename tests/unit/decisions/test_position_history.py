"""Position history: which log position covers a point in time."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.models import records

LogPosition = records.LogPosition


def test_oldest_position_after_the_given_time_is_returned():
    history = position_history.PositionHistory()
    for at, position in ((1.0, 10), (2.0, 20), (3.0, 30)):
        history.add(at, LogPosition(1, position))
    assert history.find_covering(1.5) == LogPosition(1, 20)
    assert history.find_covering(3.0) == LogPosition(1, 30)


def test_no_position_covers_a_time_after_the_newest_one():
    history = position_history.PositionHistory()
    history.add(1.0, LogPosition(1, 10))
    assert history.find_covering(1.1) is None


def test_positions_of_an_older_term_are_removed():
    history = position_history.PositionHistory()
    history.add(1.0, LogPosition(1, 10))
    history.add(2.0, LogPosition(2, 5))
    history.add(2.5, LogPosition(1, 12))
    assert history.find_covering(0.0) == LogPosition(2, 5)


def test_answer_to_an_earlier_statement_is_ignored():
    history = position_history.PositionHistory()
    history.add(2.0, LogPosition(1, 10))
    history.add(1.0, LogPosition(1, 99))
    assert history.find_covering(1.5) == LogPosition(1, 10)


def test_newest_position_is_returned_if_it_is_new_enough():
    history = position_history.PositionHistory()
    assert history.find_newest_since(0.0) is None
    history.add(1.0, LogPosition(1, 10))
    history.add(2.0, LogPosition(1, 20))
    assert history.find_newest_since(0.5) == LogPosition(1, 20)
    assert history.find_newest_since(2.0) == LogPosition(1, 20)
    assert history.find_newest_since(2.5) is None
    history.add(3.0, LogPosition(2, 25))
    assert history.find_newest_since(1.5) == LogPosition(2, 25)


@given(
    st.lists(
        st.tuples(st.floats(0, 5, allow_nan=False), st.integers(0, 3)),
        max_size=60,
    ),
    st.floats(0, 6, allow_nan=False),
)
def test_position_found_covers_the_log_at_the_given_time(steps, since):
    """Compare with the known log position at each time; it only grows."""
    history = position_history.PositionHistory()
    head = 0
    heads = []
    for at, growth in sorted(steps):
        head += growth
        heads.append((at, head))
        history.add(at, LogPosition(1, head))
    found = history.find_covering(since)
    known = [position for at, position in heads if at < since]
    if found is not None and known:
        assert found.position >= max(known)


def test_number_of_positions_is_bounded():
    history = position_history.PositionHistory()
    for step in range(10_000):
        history.add(step * 0.005, LogPosition(1, step))
    assert (
        len(history._positions)
        <= position_history.RETENTION_S / position_history.MIN_SPACING_S * 2
        + 2
    )
