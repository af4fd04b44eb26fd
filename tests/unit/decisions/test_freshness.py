"""Freshness: ages count from the sending of the question."""

import math

from geraniumridge._internal.decisions import freshness


def test_without_an_answer_the_age_is_infinite():
    assert freshness.ViewAge().get_age(5.0) == math.inf
    assert not freshness.ViewAge().is_within(5.0, 1e9)


def test_an_answer_proves_the_moment_of_its_question():
    known = freshness.ViewAge()
    known.confirm(sent_at=10.0)
    assert known.get_age(13.0) == 3.0
    assert known.is_within(13.0, 3.0)
    assert not known.is_within(13.1, 3.0)


def test_answers_that_cross_do_not_make_it_older():
    known = freshness.ViewAge()
    known.confirm(10.0)
    known.confirm(9.0)
    assert known.confirmed_at == 10.0
