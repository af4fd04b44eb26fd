"""Rendezvous (highest random weight) hashing."""

import functools
import hashlib
import itertools


@functools.lru_cache(maxsize=65536)
def _weight(node, key):
    digest = hashlib.blake2b(f"{node}\0{key}".encode(), digest_size=8)
    return digest.digest()


def rank_nodes(key, nodes):
    """Return nodes sorted by their weight for a key, the owner first.

    Parameters
    ----------
    key : str
        Key whose owner is sought.
    nodes : iterable of str
        Names of the candidates.

    Returns
    -------
    list of str
        The candidates; removing one keeps the order of the others.
    """
    return sorted(nodes, key=make_sort_key(key), reverse=True)


def choose_node(key, nodes):
    """Return the owner of a key, or None without candidates."""
    return max(nodes, key=make_sort_key(key), default=None)


def find_rank(key, nodes, node):
    """Return a node's place in the order of a key, 0 for the owner.

    A node that is not among the nodes ranks as if it were.
    """
    sort_key = make_sort_key(key)
    own = sort_key(node)
    return sum(sort_key(other) > own for other in nodes)


def make_sort_key(key):
    """Return the function of a node that gives its weight for a key."""
    return lambda node: (_weight(node, key), node)


class OwnerIndex:
    """Owners of keys among nodes that change a few at a time."""

    def __init__(self):
        self._nodes = frozenset()
        self._owners = {}

    def update(self, nodes):
        """Set the nodes; only the owners that a change concerns change."""
        nodes = frozenset(nodes)
        added = nodes - self._nodes
        removed = self._nodes - nodes
        self._nodes = nodes
        for key, owner in list(self._owners.items()):
            if owner is None or owner in removed:
                del self._owners[key]
            elif added:
                self._owners[key] = choose_node(key, [owner, *added])

    @property
    def nodes(self):
        """The nodes, a frozen set."""
        return self._nodes

    def list_preceding(self, key, node):
        """Return the nodes that precede one in the order of a key.

        Parameters
        ----------
        key : str
            The key.
        node : str
            One of the nodes.

        Returns
        -------
        list of str
            At most two of them, in no order. Two are enough to know that
            the node follows neither, and are found soon.
        """
        sort_key = make_sort_key(key)
        own = sort_key(node)
        preceding = (other for other in self._nodes if sort_key(other) > own)
        return list(itertools.islice(preceding, 2))

    def find(self, key):
        """Return the owner of a key, or None without nodes."""
        if key not in self._owners:
            self._owners[key] = choose_node(key, self._nodes)
        return self._owners[key]

    def retain(self, keys):
        """Forget the owners of all other keys than these."""
        for key in self._owners.keys() - keys:
            del self._owners[key]
