"""Contact with the leader of a cell."""

from geraniumridge._internal.decisions import leader_contact

HEARTBEAT_S = 0.5
TIMEOUT_S = leader_contact.LEADER_TIMEOUT_HEARTBEATS * HEARTBEAT_S


def make_contact(now=0.0):
    return leader_contact.LeaderContact(HEARTBEAT_S, now)


def test_address_is_guessed_only_while_contact_is_recent():
    contact = make_contact()
    contact.note_contact(1.0, "vm-1:1")
    assert contact.guess_address(1.0 + TIMEOUT_S - 0.1) == "vm-1:1"
    assert contact.guess_address(1.0 + TIMEOUT_S) == ""
    assert contact.address == "vm-1:1"


def test_earlier_contact_does_not_shorten_the_timeout():
    contact = make_contact()
    contact.note_contact(1.0, "vm-1:1")
    contact.note_contact(0.5, "vm-1:1")
    assert contact.is_recent(1.0 + TIMEOUT_S - 0.1)


def test_redirect_leaves_the_new_leader_the_rest_of_the_timeout():
    contact = make_contact()
    contact.note_redirect(10.0, "vm-2:1")
    assert contact.is_recent(10.0 + TIMEOUT_S - HEARTBEAT_S - 0.1)
    assert not contact.is_recent(10.0 + TIMEOUT_S - HEARTBEAT_S)


def test_resigned_leader_counts_as_failed_at_once():
    contact = make_contact()
    contact.note_contact(1.0, "vm-1:1")
    contact.note_resignation(1.1)
    assert contact.has_resigned
    assert not contact.is_recent(1.1)
    assert contact.is_claim_due(1.1, rank=0)
    assert not contact.is_claim_due(1.1, rank=1)


def test_claims_are_due_one_heartbeat_apart_by_rank():
    contact = make_contact()
    assert not contact.is_claim_due(TIMEOUT_S - 0.1, rank=0)
    assert contact.is_claim_due(TIMEOUT_S, rank=0)
    assert not contact.is_claim_due(TIMEOUT_S, rank=1)
    assert contact.is_claim_due(TIMEOUT_S + HEARTBEAT_S, rank=1)
