"""View numbers that a VM has accepted or seen."""

from geraniumridge._internal.decisions import view_numbers


def test_new_claim_exceeds_all_numbers_accepted_or_seen():
    numbers = view_numbers.ViewNumbers()
    numbers.accept(3)
    numbers.note_seen(7)
    assert numbers.take_next() == 8
    assert numbers.accepted == 8
    assert numbers.highest_seen == 7


def test_lower_numbers_change_nothing():
    numbers = view_numbers.ViewNumbers()
    numbers.accept(3)
    numbers.accept(2)
    numbers.note_seen(2)
    numbers.note_seen(1)
    assert (numbers.accepted, numbers.highest_seen) == (3, 2)
