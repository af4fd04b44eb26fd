"""When silent members are too few to confirm a leadership record."""

import pytest

from geraniumridge._internal.decisions import quorum

MEMBERS = frozenset({"vm-0", "vm-1", "vm-2", "vm-3"})


@pytest.mark.parametrize(
    "silent_vms, expected",
    [
        (set(), True),
        ({"vm-0"}, True),
        ({"vm-0", "vm-1"}, True),
        ({"vm-0", "vm-1", "vm-2"}, False),
    ],
)
def test_half_of_the_members_lacks_a_majority(silent_vms, expected):
    assert quorum.lacks_majority(silent_vms, [MEMBERS]) is expected


def test_majority_of_one_earlier_member_set_is_enough():
    member_sets = [MEMBERS, frozenset({"vm-0", "vm-1", "vm-2"})]
    assert not quorum.lacks_majority({"vm-0", "vm-1"}, member_sets)


def test_fleet_that_asks_for_no_confirmation_has_no_such_bound():
    count = quorum.MAX_QUORUM_MEMBERS + 1
    members = frozenset(f"vm-{number}" for number in range(count))
    assert not quorum.lacks_majority({"vm-0"}, [members])
