"""Primacy: who leads, and when that may be relied on."""

import pytest

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store
from lib import fleets

PRIMARY = fleets.make_target("a", role=desired.Role.PRIMARY)
REPLICA = fleets.make_target("b")


class World:
    """A view, its age and the decision on them."""

    def __init__(self, *items):
        self.view = view.View(lambda key, value: value)
        self.view_age = freshness.ViewAge()
        self.confirmations = support.QuorumConfirmations()
        self.primacy = primacy.PrimaryResolver(
            "vm-1",
            "boot",
            self.view,
            self.view_age,
            self.confirmations,
            entry_grace_s=4.0,
        )
        self.revision = 0
        self.take(
            ("s/a", PRIMARY),
            ("s/b", REPLICA),
            (fleet.make_member_key("vm-1"), fleets.make_member("vm-1")),
            *items,
        )
        self.view_age.confirm(0.0)

    def take(self, *pairs):
        items = []
        for key, value in pairs:
            self.revision += 1
            items.append(store.Item(key, value, self.revision))
        self.view.apply(0.0, store.Changes(tuple(items), self.revision))


def make_lead(target, is_pending=False):
    lead = fleet.Lead(target, 2, "vm-1/boot", is_pending)
    return (fleet.make_lead_key("ledger"), lead)


def test_without_a_lead_the_only_primary_by_role_leads():
    assert World().primacy.find_usable_primary("ledger", 1.0) == PRIMARY


def test_two_primaries_by_role_lead_nothing():
    second = fleets.make_target("c", role=desired.Role.PRIMARY)
    world = World(("s/c", second))
    assert world.primacy.find_primary("ledger") is None


def test_a_lead_goes_before_roles():
    world = World(make_lead("b"))
    assert world.primacy.find_usable_primary("ledger", 1.0) == REPLICA


def test_nobody_leads_while_a_lead_is_pending():
    world = World(make_lead("a", is_pending=True))
    assert world.primacy.find_usable_primary("ledger", 1.0) is None


def test_a_lead_without_its_target_leads_nothing():
    world = World(make_lead("gone"))
    assert world.primacy.find_primary("ledger") is None


def test_evidence_runs_out_with_age():
    world = World()
    late = primacy.MAX_VIEW_AGE_S + 0.01
    assert world.primacy.is_view_current("ledger", primacy.MAX_VIEW_AGE_S)
    assert not world.primacy.is_view_current("ledger", late)
    assert world.primacy.find_usable_primary("ledger", late) is None


@pytest.mark.parametrize("boot", [None, "other"])
def test_there_is_no_evidence_without_the_own_entry(boot):
    world = World()
    member = boot and fleets.make_member("vm-1", boot)
    world.take((fleet.make_member_key("vm-1"), member))
    assert not world.primacy.is_view_current("ledger", 0.0)


def make_members(*names):
    return [
        (fleet.make_member_key(name), fleets.make_member(name))
        for name in names
    ]


def test_old_knowledge_counts_while_most_members_bear_it_out():
    world = World(*make_members("vm-2", "vm-3"))
    now = primacy.MAX_UNCONFIRMED_AGE_S + 0.1
    assert not world.primacy.is_view_current("ledger", now)
    world.confirmations.add("vm-2", support.Confirmation(now, frozenset()))
    assert world.primacy.is_view_current("ledger", now)
    lapsed = now + support.CONFIRMATION_VALID_S + 0.01
    assert not world.primacy.is_view_current("ledger", lapsed)


def test_who_knows_a_newer_lead_does_not_bear_it_out():
    world = World(*make_members("vm-2", "vm-3"))
    now = primacy.MAX_UNCONFIRMED_AGE_S + 0.1
    newer = frozenset({"ledger"})
    world.confirmations.add("vm-2", support.Confirmation(now, newer))
    assert not world.primacy.is_view_current("ledger", now)
    assert world.primacy.is_view_current("other", now)


def test_support_does_not_outlive_the_bound_on_age():
    world = World(*make_members("vm-2", "vm-3"))
    late = primacy.MAX_VIEW_AGE_S + 0.01
    world.confirmations.add("vm-2", support.Confirmation(late, frozenset()))
    assert not world.primacy.is_view_current("ledger", late)


def test_a_fleet_too_large_for_questions_relies_on_age_alone():
    count = support.MAX_QUORUM_MEMBERS + 1
    world = World(*make_members(*(f"vm-{index}" for index in range(count))))
    now = primacy.MAX_VIEW_AGE_S - 0.1
    assert world.primacy.is_view_current("ledger", now)


def test_a_lead_whose_entry_vanished_is_used_for_a_while():
    world = World(make_lead("b"))
    world.take(("s/b", None))
    assert world.primacy.find_primary("ledger") == REPLICA
    world.view_age.confirm(4.1)
    assert world.primacy.find_primary("ledger") is None
