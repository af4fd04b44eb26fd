"""A member's lease in the newest view of its cell."""

from geraniumridge._internal.decisions import view_lease
from geraniumridge._internal.models import membership

ME = membership.Member("vm-0", "0", "vm-0:1")
FIRST = membership.View(1, "vm-1", (ME,))
SECOND = membership.View(2, "vm-1", (ME,))
OF_ANOTHER_LEADER = membership.View(3, "vm-2", (ME,))
LEASE_S = 2.0


def make_grant(view, **fields):
    return membership.HeartbeatAnswer(
        True,
        view.number,
        "vm-1:1",
        view=view,
        lease_s=LEASE_S,
        share=0.5,
        **fields,
    )


def make_lease():
    lease = view_lease.ViewLease()
    lease.adopt_view(10.0, FIRST, True)
    lease.renew(10.0, make_grant(FIRST, stamp=7.0, counted=True))
    return lease


def test_lease_is_valid_from_the_sending_of_the_heartbeat():
    lease = make_lease()
    assert lease.may_act(11.9)
    assert lease.get_share(11.9) == 0.5
    assert not lease.may_act(12.0)
    assert lease.get_share(12.0) == 0.0


def test_new_view_is_restricted_by_the_prior_one_until_it_is_active():
    lease = make_lease()
    generation = lease.generation
    assert lease.adopt_view(11.0, SECOND, False)
    assert lease.prior_view == FIRST
    assert lease.may_act(11.0)
    assert not lease.adopt_view(11.5, SECOND, True)
    assert lease.prior_view is None
    assert lease.generation == generation


def test_view_after_the_lease_has_expired_begins_a_new_generation():
    lease = make_lease()
    generation = lease.generation
    lease.adopt_view(12.0, SECOND, False)
    assert lease.prior_view is None
    assert lease.generation == generation + 1


def test_view_of_another_leader_begins_a_new_generation():
    lease = make_lease()
    generation = lease.generation
    lease.adopt_view(11.0, OF_ANOTHER_LEADER, False)
    assert lease.generation == generation + 1
    assert lease.last_leader_stamp == 0.0
    assert not lease.may_act(11.0)


def test_dropped_lease_is_not_renewed_by_an_earlier_heartbeat():
    lease = make_lease()
    base = membership.Base(1, ("vm-0",))
    lease.set_bases((base,))
    lease.drop(11.0)
    assert lease.was_dropped_since(11.0)
    assert not lease.was_dropped_since(11.1)
    assert not lease.may_act(11.0)
    assert lease.epoch == (0, "")
    assert not lease.is_counted
    assert lease.bases == (base,)


def test_renewal_tells_whether_the_bases_have_changed():
    lease = make_lease()
    bases = (membership.Base(1, ("vm-0",)),)
    assert lease.renew(11.0, make_grant(FIRST, bases=bases))
    assert not lease.renew(11.1, make_grant(FIRST, bases=bases))
