"""Revisions that are ordered by the store's era first."""

import pytest

from geraniumridge._internal.models import revisions


def test_revisions_of_a_later_era_are_greater():
    former = revisions.make_revision(1, revisions.MAX_NUMBER)
    assert revisions.make_revision(2, 1) > former


def test_store_without_eras_keeps_its_numbers():
    assert revisions.make_revision(0, 512) == 512


def test_era_and_number_are_found_again():
    revision = revisions.make_revision(7, 512)
    assert revisions.get_era(revision) == 7
    assert revisions.get_number(revision) == 512


@pytest.mark.parametrize(
    ("era", "number"),
    [(-1, 1), (revisions.MAX_ERA + 1, 1), (1, -1), (1, 2**40)],
)
def test_value_out_of_its_bounds_is_refused(era, number):
    with pytest.raises(ValueError):
        revisions.make_revision(era, number)
