"""Age of the store view, counted from the sending of requests."""

import math

from geraniumridge._internal.decisions import view_age


def test_age_is_infinite_before_the_first_answer():
    assert view_age.ViewAge().get_age(5.0) == math.inf
    assert not view_age.ViewAge().is_within(5.0, 1e9)


def test_age_counts_from_the_sending_of_the_request():
    age = view_age.ViewAge()
    age.confirm(sent_at=10.0)
    assert age.get_age(13.0) == 3.0
    assert age.is_within(13.0, 3.0)
    assert not age.is_within(13.1, 3.0)


def test_answers_out_of_order_do_not_raise_the_age():
    age = view_age.ViewAge()
    age.confirm(10.0)
    age.confirm(9.0)
    assert age.confirmed_at == 10.0


def test_time_before_the_last_answer_is_remembered():
    age = view_age.ViewAge()
    age.confirm(10.0)
    age.confirm(12.0)
    age.confirm(11.0)
    assert age.previous_confirmed_at == 10.0
