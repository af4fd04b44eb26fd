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


def test_owner_index_follows_changes_of_the_nodes():
    index = rendezvous.OwnerIndex()
    keys = [f"key-{number}" for number in range(30)]
    for nodes in ([], "abc", "abcd", "bd", "efgh", "", "a"):
        index.update(nodes)
        for key in keys:
            assert index.find(key) == rendezvous.choose_node(key, nodes)


def test_rank_is_the_place_in_the_order():
    nodes = [f"node-{number}" for number in range(9)]
    ranked = rendezvous.rank_nodes("key", nodes)
    ranks = [rendezvous.find_rank("key", nodes, node) for node in ranked]
    assert ranks == list(range(9))
