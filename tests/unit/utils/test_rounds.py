"""Rounds hand out every item in turn."""

from geraniumridge._internal.utils import rounds


def test_few_items_are_handed_out_at_once():
    assert rounds.Rounds(3).take([1, 2]) == [1, 2]


def test_each_of_many_items_comes_in_turn():
    found = rounds.Rounds(2)
    items = [1, 2, 3, 4, 5]
    parts = [found.take(items) for _ in range(5)]
    assert parts == [[1, 2], [3, 4], [5, 1], [2, 3], [4, 5]]


def test_the_number_of_items_may_change():
    found = rounds.Rounds(2)
    found.take([1, 2, 3, 4, 5])
    assert found.take([1, 2, 3]) == [3, 1]
