"""What the answers to a claim tell about the time before it."""

from geraniumridge._internal.decisions import leadership
from geraniumridge._internal.decisions import pending_claim
from geraniumridge._internal.decisions import view_lease
from geraniumridge._internal.models import membership

ME, PEER, OTHER = (
    membership.Member(f"vm-{index}", "0", f"vm-{index}:1")
    for index in range(3)
)
LISTED = {"vm-0", "vm-1"}


def make_claim():
    return pending_claim.PendingClaim(ME, 8, [PEER.address], 5.0)


def make_lease(view):
    lease = view_lease.ViewLease()
    lease.adopt_view(1.0, view, True)
    return lease


def accept(**fields):
    return membership.ClaimAnswer(True, 8, "", **fields)


def test_claim_ends_with_the_last_answer_or_at_its_deadline():
    claim = make_claim()
    assert not claim.is_answered
    assert not claim.is_expired(4.9)
    assert claim.is_expired(5.0)
    claim.note_answer(PEER, accept())
    assert claim.is_answered


def test_refusal_is_noted():
    claim = make_claim()
    claim.note_answer(PEER, membership.ClaimAnswer(False, 9, ""))
    assert claim.is_refused
    assert claim.list_members() == [ME]


def test_vm_that_leaves_accepts_without_becoming_a_member():
    claim = make_claim()
    claim.note_answer(PEER, accept(leaving=True))
    assert claim.list_members() == [ME]
    state = claim.make_prior_state(view_lease.ViewLease(), LISTED)
    assert state.departed == {"vm-1"}


def test_new_domain_has_no_earlier_view():
    claim = make_claim()
    claim.note_answer(PEER, accept())
    state = claim.make_prior_state(view_lease.ViewLease(), LISTED)
    assert state == leadership.PriorState(True, True)


def test_silent_vm_of_the_list_may_have_an_earlier_view():
    claim = make_claim()
    claim.note_answer(PEER, accept())
    state = claim.make_prior_state(
        view_lease.ViewLease(), LISTED | {OTHER.name}
    )
    assert state == leadership.PriorState(False, False)


def test_vm_that_had_a_view_contradicts_that_there_was_none():
    claim = make_claim()
    claim.note_answer(PEER, accept(epoch_number=3, epoch_leader="vm-2"))
    state = claim.make_prior_state(view_lease.ViewLease(), LISTED)
    assert state == leadership.PriorState(False, False)


def test_earlier_view_has_ended_once_all_its_members_accepted():
    claim = make_claim()
    lease = make_lease(membership.View(4, "vm-1", (ME, PEER)))
    assert not claim.make_prior_state(lease, LISTED).earlier_views_ended
    claim.note_answer(PEER, accept(epoch_number=4, epoch_leader="vm-1"))
    assert claim.make_prior_state(lease, LISTED).earlier_views_ended


def test_later_view_of_a_peer_may_still_be_in_use():
    claim = make_claim()
    lease = make_lease(membership.View(4, "vm-1", (ME, PEER)))
    claim.note_answer(PEER, accept(epoch_number=5, epoch_leader="vm-1"))
    assert not claim.make_prior_state(lease, LISTED).earlier_views_ended


def test_bases_and_counted_vms_of_all_answers_are_kept():
    claim = make_claim()
    lease = view_lease.ViewLease()
    own, theirs = membership.Base(1, ("vm-0",)), membership.Base(2, ("vm-1",))
    lease.set_bases((own,))
    claim.note_answer(PEER, accept(bases=(theirs,), counted=True))
    assert claim.list_bases(lease) == {own, theirs}
    assert claim.make_prior_state(lease, LISTED).counted == {"vm-1"}
