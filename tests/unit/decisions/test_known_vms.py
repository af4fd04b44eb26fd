"""VMs that a VM knows of, and where they can be reached."""

from geraniumridge._internal.decisions import known_vms
from geraniumridge._internal.models import membership

ME = membership.Member("vm-0", "0", "vm-0:1")


def test_vm_counts_as_unlisted_for_long_only_after_the_grace():
    vms = known_vms.KnownVms(ME)
    vms.set_listed(1.0, {"vm-0": "vm-0:1", "vm-1": "vm-1:1"})
    vms.set_listed(2.0, {"vm-0": "vm-0:1"})
    vms.set_listed(5.0, {"vm-0": "vm-0:1"})
    end = 2.0 + known_vms.UNLISTED_GRACE_S
    assert vms.list_long_unlisted(end) == set()
    assert vms.list_long_unlisted(end + 0.1) == {"vm-1"}


def test_vm_that_is_listed_again_is_not_unlisted():
    vms = known_vms.KnownVms(ME)
    vms.set_listed(1.0, {"vm-1": "vm-1:1"})
    vms.set_listed(2.0, {})
    vms.set_listed(3.0, {"vm-1": "vm-1:1"})
    assert vms.list_long_unlisted(100.0) == set()


def test_peers_are_those_of_the_list_the_view_and_the_seeds():
    vms = known_vms.KnownVms(ME)
    vms.set_listed(1.0, {"vm-0": "vm-0:1", "vm-1": "vm-1:1"})
    vms.set_seeds(["vm-0:1", "vm-2:1", "vm-3:1"])
    view = membership.View(
        1,
        "vm-2",
        (
            membership.Member("vm-1", "1", "vm-1:2"),
            membership.Member("vm-2", "2", "vm-2:1"),
        ),
    )
    assert vms.get_peer_addresses(view) == {
        "vm-1": "vm-1:2",
        "vm-2": "vm-2:1",
        "seed vm-3:1": "vm-3:1",
    }


def test_change_of_the_returned_names_leaves_the_list_alone():
    vms = known_vms.KnownVms(ME)
    vms.set_listed(1.0, {"vm-1": "vm-1:1"})
    vms.listed.clear()
    assert vms.listed == {"vm-1"}
