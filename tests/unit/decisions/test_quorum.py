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


def make_fleet(count):
    return frozenset(f"vm-{number}" for number in range(count))


def test_voters_of_a_large_fleet_are_a_fixed_number_of_its_members():
    members = make_fleet(540)
    voters = quorum.choose_voters(members)
    assert len(voters) == quorum.MAX_VOTERS
    assert voters < members


def test_one_departure_changes_at_most_one_voter():
    members = make_fleet(87)
    voters = quorum.choose_voters(members)
    for vm in members:
        changed = voters - quorum.choose_voters(members - {vm})
        assert changed <= {vm}


def test_silent_half_of_the_voters_of_a_large_fleet_lacks_a_majority():
    members = make_fleet(87)
    voters = sorted(quorum.choose_voters(members))
    minority = set(voters[: quorum.MAX_VOTERS // 2])
    majority = set(voters[: quorum.MAX_VOTERS // 2 + 1])
    others = members - set(voters)
    assert quorum.lacks_majority(minority | others, [members])
    assert not quorum.lacks_majority(majority, [members])


def test_vm_that_is_no_voter_does_not_count_for_its_own_record():
    members = make_fleet(87)
    voters = quorum.choose_voters(members)
    own = sorted(members - voters)[0]
    confirmations = quorum.QuorumConfirmations()
    for vm in sorted(voters)[: quorum.MAX_VOTERS // 2]:
        confirmations.add(vm, quorum.Confirmation(0.0, frozenset()))
    assert not confirmations.has_majority("ledger", own, voters, 0.0)
