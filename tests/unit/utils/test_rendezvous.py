"""Rendezvous hashing: owners of keys, and keys moved by a removal."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumridge._internal.utils import rendezvous


@given(st.text(max_size=8), st.sets(st.text(max_size=6), max_size=12))
def test_owner_is_the_first_in_order(key, nodes):
    ranked = rendezvous.rank_nodes(key, nodes)
    assert rendezvous.choose_node(key, nodes) == (
        ranked[0] if ranked else None
    )


def test_removed_node_moves_only_its_own_keys():
    nodes = [f"vm-{number}" for number in range(9)]
    for number in range(100):
        owner = rendezvous.choose_node(f"team-{number}", nodes)
        rest = [node for node in nodes if node != "vm-3"]
        after = rendezvous.choose_node(f"team-{number}", rest)
        assert after == owner or owner == "vm-3"
