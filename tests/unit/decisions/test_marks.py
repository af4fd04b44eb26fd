"""Marks: which position proves a point in time."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.decisions import marks
from geraniumridge._internal.models import records

Mark = records.Mark


def test_oldest_mark_after_the_point_in_time_is_enough():
    history = marks.PositionHistory()
    for at, position in ((1.0, 10), (2.0, 20), (3.0, 30)):
        history.add(at, Mark(1, position))
    assert history.find_covering(1.5) == Mark(1, 20)
    assert history.find_covering(3.0) == Mark(1, 30)


def test_nothing_proves_a_time_after_the_newest_mark():
    history = marks.PositionHistory()
    history.add(1.0, Mark(1, 10))
    assert history.find_covering(1.1) is None


def test_marks_of_an_older_term_die_with_it():
    history = marks.PositionHistory()
    history.add(1.0, Mark(1, 10))
    history.add(2.0, Mark(2, 5))
    history.add(2.5, Mark(1, 12))
    assert history.find_covering(0.0) == Mark(2, 5)


def test_an_answer_sent_earlier_does_not_count_as_newer():
    history = marks.PositionHistory()
    history.add(2.0, Mark(1, 10))
    history.add(1.0, Mark(1, 99))
    assert history.find_covering(1.5) == Mark(1, 10)


def test_clear_forgets_all():
    history = marks.PositionHistory()
    history.add(1.0, Mark(1, 10))
    history.clear()
    assert history.find_covering(0.0) is None
    assert history.newest is None


@given(
    st.lists(
        st.tuples(st.floats(0, 5, allow_nan=False), st.integers(0, 3)),
        max_size=60,
    ),
    st.floats(0, 6, allow_nan=False),
)
def test_the_position_found_covers_the_log_at_that_time(steps, since):
    """The log only grows; the oracle knows its head at each sending."""
    history = marks.PositionHistory()
    head = 0
    heads = []
    for at, growth in sorted(steps):
        head += growth
        heads.append((at, head))
        history.add(at, Mark(1, head))
    found = history.find_covering(since)
    known = [position for at, position in heads if at < since]
    if found is not None and known:
        assert found.position >= max(known)


def test_their_number_is_bounded():
    history = marks.PositionHistory()
    for step in range(10_000):
        history.add(step * 0.005, Mark(1, step))
    assert (
        len(history._positions)
        <= marks.RETENTION_S / marks.MIN_SPACING_S * 2 + 2
    )
