"""Going round many items, some at a time."""


class Rounds:
    """Hands out a part of a sequence at each call, in turn.

    Parameters
    ----------
    most : int
        Most items handed out at once.
    """

    def __init__(self, most):
        self._most = most
        self._next = 0

    def take(self, items):
        """Return the next items; all of them if they are few."""
        if len(items) <= self._most:
            return items
        first = self._next % len(items)
        self._next = first + self._most
        part = items[first : self._next]
        return part + items[: self._most - len(part)]
