"""Round robin: every item is returned in turn."""

from geraniumridge._internal.utils import rounds


def test_few_items_make_one_batch():
    assert rounds.RoundRobin(3).take_batch([1, 2]) == [1, 2]


def test_each_of_many_items_is_returned_in_turn():
    batches = rounds.RoundRobin(2)
    items = [1, 2, 3, 4, 5]
    taken = [batches.take_batch(items) for _ in range(5)]
    assert taken == [[1, 2], [3, 4], [5, 1], [2, 3], [4, 5]]


def test_number_of_items_may_change():
    batches = rounds.RoundRobin(2)
    batches.take_batch([1, 2, 3, 4, 5])
    assert batches.take_batch([1, 2, 3]) == [3, 1]
