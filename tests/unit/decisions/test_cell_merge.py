"""Which of two cells of a failure domain goes on."""

from geraniumridge._internal.decisions import cell_merge
from geraniumridge._internal.models import membership


def make_view(leader, count):
    members = tuple(
        membership.Member(f"vm-{index}", "0", f"vm-{index}:1")
        for index in range(count)
    )
    return membership.View(1, leader, members)


def test_larger_cell_goes_on():
    large, small = make_view("vm-9", 3), make_view("vm-0", 2)
    assert cell_merge.outranks(large, small)
    assert not cell_merge.outranks(small, large)


def test_leader_with_the_lower_name_goes_on_among_cells_of_one_size():
    lower, higher = make_view("vm-1", 2), make_view("vm-10", 2)
    assert cell_merge.outranks(lower, higher)
    assert not cell_merge.outranks(higher, lower)
