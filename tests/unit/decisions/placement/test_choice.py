"""Order in which the targets that may serve a read are tried."""

from geraniumridge._internal.decisions.placement import choice


def test_targets_are_ordered_by_wait_and_equal_ones_keep_their_order():
    """An order that changes would send reads to other targets than before."""
    candidates = [
        choice.Candidate(name, wait_s)
        for name, wait_s in (("a", 0.3), ("b", 0.1), ("c", 0.2), ("d", 0.1))
    ]
    assert choice.order_by_wait(candidates) == ["b", "d", "c", "a"]
