"""Order of two cells of one failure domain that are about to merge."""


def outranks(view, other):
    """Return whether the leader of another view is to follow this one's.

    The larger cell goes on; of cells of one size, that whose leader has the
    lower name.

    Parameters
    ----------
    view, other : membership.View
        Newest view of each cell.
    """
    return _make_sort_key(view) > _make_sort_key(other)


def _make_sort_key(view):
    return len(view.members), _make_reverse_key(view.leader)


def _make_reverse_key(name):
    """Return a sort key that orders names from last to first.

    The final element sorts a name after longer names that begin with it.
    """
    return [-ord(letter) for letter in name] + [1]
