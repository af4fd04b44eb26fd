"""Primary of a group, and when the store view may be relied on for it."""

import pytest

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

PRIMARY = fleets.make_target("a", role=desired.Role.PRIMARY)
REPLICA = fleets.make_target("b")


class ResolverFixture:
    """A store view, its age, confirmations and the resolver of primaries."""

    def __init__(self, *items):
        self.view = view.View(lambda key, value: value)
        self.view_age = view_age.ViewAge()
        self.confirmations = quorum.QuorumConfirmations()
        self.primary_resolver = primary_resolver.PrimaryResolver(
            "vm-1",
            "boot",
            self.view,
            self.view_age,
            self.confirmations,
            entry_grace_s=4.0,
        )
        self.revision = 0
        self.apply_items(
            ("s/a", PRIMARY),
            ("s/b", REPLICA),
            (fleet.make_member_key("vm-1"), fleets.make_member("vm-1")),
            *items,
        )
        self.view_age.confirm(0.0)

    def apply_items(self, *pairs):
        items = []
        for key, value in pairs:
            self.revision += 1
            items.append(store.Item(key, value, self.revision))
        self.view.apply(0.0, store.Changes(tuple(items), self.revision))


def make_lead(target, is_pending=False):
    lead = fleet.Lead(target, 2, "vm-1/boot", is_pending)
    return (fleet.make_lead_key("ledger"), lead)


def test_only_target_with_the_primary_role_is_used_without_a_record():
    assert (
        ResolverFixture().primary_resolver.find_usable_primary("ledger", 1.0)
        == PRIMARY
    )


def test_two_targets_with_the_primary_role_give_no_primary():
    second = fleets.make_target("c", role=desired.Role.PRIMARY)
    fixture = ResolverFixture(("s/c", second))
    assert fixture.primary_resolver.find_primary("ledger") is None


def test_leadership_record_takes_precedence_over_roles():
    fixture = ResolverFixture(make_lead("b"))
    assert (
        fixture.primary_resolver.find_usable_primary("ledger", 1.0) == REPLICA
    )


def test_no_primary_during_a_failover():
    fixture = ResolverFixture(make_lead("a", is_pending=True))
    assert fixture.primary_resolver.find_usable_primary("ledger", 1.0) is None


def test_no_primary_if_the_recorded_target_is_not_registered():
    fixture = ResolverFixture(make_lead("gone"))
    assert fixture.primary_resolver.find_primary("ledger") is None


def test_view_expires_with_age():
    fixture = ResolverFixture()
    late = primary_resolver.MAX_VIEW_AGE_S + 0.01
    assert fixture.primary_resolver.may_use_primary(
        "ledger", primary_resolver.MAX_VIEW_AGE_S
    )
    assert not fixture.primary_resolver.may_use_primary("ledger", late)
    assert fixture.primary_resolver.find_usable_primary("ledger", late) is None


@pytest.mark.parametrize("boot", [None, "other"])
def test_view_is_not_current_without_the_own_entry(boot):
    fixture = ResolverFixture()
    member = boot and fleets.make_member("vm-1", boot)
    fixture.apply_items((fleet.make_member_key("vm-1"), member))
    assert not fixture.primary_resolver.may_use_primary("ledger", 0.0)


def make_members(*names):
    return [
        (fleet.make_member_key(name), fleets.make_member(name))
        for name in names
    ]


def test_older_view_is_current_while_a_majority_confirms_it():
    fixture = ResolverFixture(*make_members("vm-2", "vm-3"))
    now = primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.1
    assert not fixture.primary_resolver.may_use_primary("ledger", now)
    fixture.confirmations.add("vm-2", quorum.Confirmation(now, frozenset()))
    assert fixture.primary_resolver.may_use_primary("ledger", now)
    expired_at = now + quorum.CONFIRMATION_VALID_S + 0.01
    assert not fixture.primary_resolver.may_use_primary("ledger", expired_at)


def test_member_with_a_newer_record_does_not_confirm():
    fixture = ResolverFixture(*make_members("vm-2", "vm-3"))
    now = primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.1
    newer = frozenset({"ledger"})
    fixture.confirmations.add("vm-2", quorum.Confirmation(now, newer))
    assert not fixture.primary_resolver.may_use_primary("ledger", now)
    assert fixture.primary_resolver.may_use_primary("other", now)


def test_confirmations_do_not_extend_the_maximum_age():
    fixture = ResolverFixture(*make_members("vm-2", "vm-3"))
    late = primary_resolver.MAX_VIEW_AGE_S + 0.01
    fixture.confirmations.add("vm-2", quorum.Confirmation(late, frozenset()))
    assert not fixture.primary_resolver.may_use_primary("ledger", late)


def test_older_view_of_a_large_fleet_needs_a_majority_of_the_voters():
    members = [f"vm-{number}" for number in range(2, 88)]
    fixture = ResolverFixture(*make_members(*members))
    now = primary_resolver.MAX_UNCONFIRMED_AGE_S + 0.1
    voters = quorum.choose_voters(["vm-1", *members])
    confirmation = quorum.Confirmation(now, frozenset())
    for vm in set(members) - voters:
        fixture.confirmations.add(vm, confirmation)
    assert not fixture.primary_resolver.may_use_primary("ledger", now)
    for vm in sorted(voters - {"vm-1"})[: quorum.MAX_VOTERS // 2 + 1]:
        fixture.confirmations.add(vm, confirmation)
    assert fixture.primary_resolver.may_use_primary("ledger", now)


def test_primary_whose_entry_was_removed_is_used_for_a_grace_time():
    fixture = ResolverFixture(make_lead("b"))
    fixture.apply_items(("s/b", None))
    assert fixture.primary_resolver.find_primary("ledger") == REPLICA
    fixture.view_age.confirm(4.1)
    assert fixture.primary_resolver.find_primary("ledger") is None
