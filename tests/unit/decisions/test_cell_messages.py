"""Heartbeats and inquiries of a cell."""

from geraniumridge._internal.decisions import cell_messages
from geraniumridge._internal.decisions import view_lease
from geraniumridge._internal.models import membership

ME = membership.Member("vm-0", "0", "vm-0:1")


def test_heartbeat_without_a_view_has_the_accepted_number():
    lease = view_lease.ViewLease()
    heartbeat = cell_messages.make_heartbeat(ME, lease, 7, False)
    assert heartbeat == membership.Heartbeat(ME, 7, "", 0.0, False, 0)


def test_heartbeat_names_the_view_and_echoes_the_stamp():
    lease = view_lease.ViewLease()
    view = membership.View(5, "vm-1", (ME,))
    bases = (membership.Base(2, ("vm-0",)), membership.Base(3, ("vm-0",)))
    lease.adopt_view(1.0, view, True)
    lease.renew(
        1.0,
        membership.HeartbeatAnswer(
            True, 5, "vm-1:1", lease_s=2.0, stamp=9.0, bases=bases
        ),
    )
    heartbeat = cell_messages.make_heartbeat(ME, lease, 7, True)
    assert heartbeat == membership.Heartbeat(ME, 5, "vm-1", 9.0, True, 3)


def test_inquiry_does_not_join():
    inquiry = cell_messages.make_inquiry(ME, 4)
    assert inquiry.inquiry
    assert (inquiry.number, inquiry.leader) == (4, "vm-0")
