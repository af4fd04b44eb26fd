"""A VM's share of the connections of a target."""

import pytest

from geraniumridge._internal.decisions import connection_share


def list_limits(max_connections, vms, target_id="t-1"):
    """Return the limits of each VM for a target."""
    return [
        connection_share.compute_limits(
            max_connections,
            target_id,
            connection_share.find_index(vm, vms),
        )
        for vm in vms
    ]


@pytest.mark.parametrize("max_connections", [1, 5, 79, 236, 1000])
@pytest.mark.parametrize("vm_count", [1, 3, 69, 87, 540])
def test_vms_together_keep_fewer_connections_open_than_allowed(
    max_connections, vm_count
):
    vms = [f"vm-{number}" for number in range(vm_count)]
    limits = list_limits(max_connections, vms)
    assert sum(item.max_kept_open for item in limits) == int(
        connection_share.KEEP_OPEN_SHARE * max_connections
    )


def test_every_vm_may_open_a_connection_to_every_target():
    vms = [f"vm-{number}" for number in range(87)]
    assert all(item.max_open >= 1 for item in list_limits(5, vms))


def test_targets_are_kept_open_by_different_vms():
    vms = [f"vm-{number}" for number in range(9)]
    keepers = {
        tuple(item.max_kept_open for item in list_limits(5, vms, target_id))
        for target_id in ("t-1", "t-2", "t-3", "t-4")
    }
    assert len(keepers) > 1


def test_connections_to_a_full_target_are_not_added_for_a_while():
    full = connection_share.FullTarget()
    assert full.get_max_open(4, 0.0) == 4
    full.note_refused(2, 1.0)
    assert full.get_max_open(4, 1.1) == 2
    assert full.get_max_open(1, 1.1) == 1
    assert full.get_max_open(4, 1.0 + connection_share.FULL_TARGET_S) == 4


def test_vm_without_a_connection_to_a_full_target_may_try_one():
    full = connection_share.FullTarget()
    full.note_refused(0, 1.0)
    assert full.get_max_open(4, 1.1) == 1


def test_vm_that_is_not_registered_is_counted():
    position = connection_share.find_index("vm-2", ["vm-1", "vm-3"])
    assert position == connection_share.MemberIndex(1, 3)
