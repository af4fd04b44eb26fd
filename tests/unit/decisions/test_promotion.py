"""Conditions of a failover, its target, and evidence for terms.

Evidence for a term is a recent read of the platform's record of terms or
promises of most domains, in which they commit not to change primaries.
A domain that closes a group stops including it in its promises.
"""

import pytest

from geraniumridge._internal.decisions import promises
from geraniumridge._internal.decisions import promotion
from geraniumridge._internal.decisions import term_evidence
from geraniumridge._internal.models import records

TTL_S = 4.0


def make_failover(required=("q", "r"), domains=3, planned=False):
    """Return a failover whose pending term was recorded at time 0.

    The old primary is p, its replicas are q and r.
    """
    plan = promotion.FailoverPlan(
        "g",
        "p",
        2,
        {"q": "b", "r": "c"},
        frozenset(required),
        frozenset({"p", "q", "r"}),
        "",
        domains,
        TTL_S,
        planned,
    )
    return promotion.FailoverDecision(plan, 0.0)


def test_nothing_is_promoted_before_earlier_evidence_has_expired():
    decision = make_failover()
    decision.note_status("q", records.LogPosition(1, 5))
    decision.note_status("r", records.LogPosition(1, 4))
    decision.note_closed("b", 0.0, 0.0)
    decision.note_closed("c", 0.0, 3.0)
    assert decision.choose_target(4.3) is None
    assert decision.choose_target(4.5) == "q"


def test_half_of_the_domains_must_close_the_group():
    decision = make_failover()
    decision.note_status("q", records.LogPosition(1, 5))
    decision.note_status("r", records.LogPosition(1, 5))
    decision.note_closed("b", 0.0, 0.0)
    assert decision.choose_target(100.0) is None
    decision.note_closed("c", 100.0, 4.0)
    assert decision.choose_target(102.0) is None
    assert decision.choose_target(104.5) is not None


def test_all_required_replicas_must_have_answered():
    decision = make_failover()
    decision.note_closed("b", 0.0, 0.0)
    decision.note_closed("c", 0.0, 0.0)
    decision.note_status("r", records.LogPosition(1, 4))
    assert decision.choose_target(10.0) is None
    decision.note_status("q", records.LogPosition(1, 9))
    assert decision.choose_target(10.0) == "q"


def test_after_a_demotion_a_replica_needs_the_whole_log_but_no_wait():
    decision = make_failover()
    decision.note_demoted(0.0, records.LogPosition(1, 7))
    decision.note_status("q", records.LogPosition(1, 6))
    assert decision.choose_target(0.1) is None
    decision.note_status("q", records.LogPosition(1, 7))
    assert decision.choose_target(0.1) == "q"


def test_demoted_primary_is_promoted_again_if_no_replica_catches_up():
    decision = make_failover()
    decision.note_demoted(0.0, records.LogPosition(1, 7))
    decision.note_status("p", records.LogPosition(1, 7))
    decision.note_status("q", records.LogPosition(1, 6))
    assert decision.choose_target(0.1) is None
    assert decision.choose_target(3.1) == "p"


def test_planned_failover_demotes_only_once_a_replica_has_caught_up():
    # A demoted primary may not send its log, so a replica that lags then
    # would never catch up.
    decision = make_failover(planned=True)
    decision.note_status("p", records.LogPosition(1, 7))
    decision.note_status("q", records.LogPosition(1, 6))
    assert not decision.may_demote()
    decision.note_status("p", records.LogPosition(1, 8))
    decision.note_status("q", records.LogPosition(1, 8))
    assert not decision.may_demote()
    decision.note_status("p", records.LogPosition(1, 8))
    assert decision.may_demote()


def test_replicas_behind_a_demoted_primary_wait_for_evidence_to_expire():
    decision = make_failover()
    assert decision.may_demote()
    decision.note_demoted(0.0, records.LogPosition(1, 9))
    decision.note_status("q", records.LogPosition(1, 7))
    decision.note_status("r", records.LogPosition(1, 6))
    decision.note_closed("b", 0.0, 0.0)
    decision.note_closed("c", 0.0, 0.0)
    assert decision.choose_target(1.0) is None
    assert decision.choose_target(4.5) == "q"


@pytest.mark.parametrize(
    "log_position", [records.LogPosition(1, 9), records.LogPosition(2, 12)]
)
def test_session_is_lost_if_a_later_term_began_before_its_position(
    log_position,
):
    starts = (records.LogPosition(2, 8), records.LogPosition(3, 11))
    term = records.GroupTerm(3, "q", starts)
    assert term.is_lost(log_position)
    assert not term.is_lost(records.LogPosition(2, 11))
    assert not term.is_lost(records.LogPosition(3, 50))


def test_evidence_counts_from_when_the_request_was_sent():
    evidence = term_evidence.TermEvidence(TTL_S)
    record = records.TermsRecord({"g": records.GroupTerm(1, "p")})
    evidence.note_read(10.0, 5, record)
    assert evidence.may_acknowledge("g", 1, 13.9)
    assert not evidence.may_acknowledge("g", 1, 14.1)
    assert not evidence.may_acknowledge("g", 2, 11.0)
    evidence.note_promises(14.0, 5, ())
    assert evidence.may_acknowledge("g", 1, 17.9)
    evidence.note_promises(17.0, 5, ("g",))
    assert not evidence.may_acknowledge("g", 1, 17.5)


def test_pending_term_ends_acknowledgements_of_the_old_one():
    evidence = term_evidence.TermEvidence(TTL_S)
    pending = records.PendingTerm(2, "vm", "id")
    term = records.GroupTerm(1, "p", (), pending)
    evidence.note_read(0.0, 1, records.TermsRecord({"g": term}))
    assert not evidence.may_acknowledge("g", 1, 0.1)


def test_closing_waits_for_earlier_promises_and_ends_new_ones():
    domain = promises.DomainPromises(TTL_S)
    domain.start_leading(0.0)
    assert not domain.give_promise(1.0, 0.5, 1, 1).promised
    assert domain.give_promise(5.0, 4.5, 1, 1).promised
    closing = domain.close_group(6.0, "g", 2)
    assert closing.closed and closing.remaining_s == pytest.approx(3.0)
    assert domain.give_promise(7.0, 6.5, 1, 1).closed == {"g"}


def test_new_leader_promises_nothing_before_it_has_read_the_terms():
    domain = promises.DomainPromises(TTL_S)
    domain.start_leading(100.0)
    assert not domain.give_promise(200.0, 99.0, 1, 1).promised
    assert not domain.give_promise(200.0, 150.0, 2, 1).promised
    assert domain.give_promise(200.0, 150.0, 1, 1).promised


def test_new_leader_counts_its_predecessors_promises_as_valid():
    domain = promises.DomainPromises(TTL_S)
    domain.start_leading(100.0)
    assert domain.close_group(101.0, "g", 2).remaining_s == pytest.approx(3.0)
    domain.stop_leading()
    assert not domain.close_group(102.0, "g", 2).closed
