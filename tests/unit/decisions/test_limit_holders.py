"""Choice of the limiter and the standby of a team."""

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.utils import rendezvous
from lib import fleets


def find_limiters(stable, new):
    members = {
        vm: fleets.make_member(vm)._replace(is_settled=vm in stable)
        for vm in [*stable, *new]
    }
    teams = [f"team-{number}" for number in range(60)]
    return {limit_holders.find_limiter(team, members).vm for team in teams}


def test_new_vm_is_no_limiter_while_others_are_stable():
    assert find_limiters(["a", "b"], ["new"]) == {"a", "b"}
    assert find_limiters(["a", "b", "new"], []) == {"a", "b", "new"}


def test_all_vms_are_candidates_when_most_are_new():
    assert find_limiters([], ["a", "b", "c"]) == {"a", "b", "c"}
    assert find_limiters(["a"], ["b", "c"]) == {"a", "b", "c"}


def test_no_limiter_without_members():
    assert limit_holders.find_limiter("team", {}) is None


def test_limiter_stops_before_a_successor_can_begin():
    assert limit_holders.may_grant(age_s=3.0, lease_left_s=1.0)
    assert not limit_holders.may_grant(
        age_s=limit_holders.STABLE_AFTER_S, lease_left_s=1.0
    )
    assert not limit_holders.may_grant(age_s=1.0, lease_left_s=0.0)


def test_standby_is_another_vm_of_the_domain_than_the_limiter():
    members = {
        f"{domain}-{number}": fleets.make_member(
            f"{domain}-{number}"
        )._replace(domain=domain)
        for domain in ("north", "south")
        for number in range(3)
    }
    for number in range(40):
        team = f"team-{number}"
        limiter = limit_holders.find_limiter(team, members)
        standby = limit_holders.find_standby(team, "south", limiter, members)
        assert standby.domain == "south" and standby != limiter
    assert limit_holders.find_standby("team", "west", limiter, members) is None


def test_only_vm_of_a_domain_is_standby_and_limiter():
    members = {"a": fleets.make_member("a")}
    limiter = limit_holders.find_limiter("team", members)
    assert (
        limit_holders.find_standby("team", "north", limiter, members)
        == limiter
    )


def find_key(first, second):
    """Return a key whose owner is one VM, and the other without that."""
    return next(
        key
        for key in map(str, range(1000))
        if rendezvous.rank_nodes(key, [first, second]) == [first, second]
    )


def test_predecessor_is_known_for_as_long_as_its_view_may_be_used():
    """Guards against two limiters when a VM joins."""
    key = find_key("new", "old")
    history = limit_holders.CandidateHistory()
    history.note(0.0, ["old"], ["old"])
    history.note(10.0, ["old", "new"], ["old", "new"])
    assert history.list_predecessors(key, "new", 10.0) == {"old"}
    assert history.list_predecessors(key, "new", 13.9) == {"old"}
    assert not history.list_predecessors(key, "new", 14.0)


def test_settled_members_precede_those_that_joined_with_a_view():
    """Guards against a VM that starts beside a limiter, as one of many."""
    key = find_key("new", "old")
    history = limit_holders.CandidateHistory()
    history.note(0.0, ["old", "new", "other"], ["old"])
    assert history.list_predecessors(key, "new", 0.0) == {"old"}


def test_fleet_that_starts_at_once_has_no_predecessors():
    history = limit_holders.CandidateHistory()
    history.note(0.0, ["a", "b"], [])
    assert not history.list_predecessors("key", "a", 0.0)


def test_takeover_ends_with_the_last_answer_or_the_age_of_views():
    takeover = limit_holders.Takeover(["a", "b"], 10.0)
    takeover.note_stopped("a")
    assert not takeover.is_done(13.9)
    assert takeover.is_done(14.0)
    takeover.note_stopped("b")
    assert takeover.is_done(10.0)
