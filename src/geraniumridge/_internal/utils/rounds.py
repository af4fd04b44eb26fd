"""Going round many items, some at a time."""


class RoundRobin:
    """Hands out a part of a sequence at each call, in turn.

    Parameters
    ----------
    most : int
        Most items handed out at once.
    """

    def __init__(self, max_items):
        self._max_items = max_items
        self._next = 0

    def take_batch(self, items):
        """Return the next items; all of them if they are few."""
        if len(items) <= self._max_items:
            return items
        first = self._next % len(items)
        self._next = first + self._max_items
        batch = items[first : self._next]
        return batch + items[: self._max_items - len(batch)]
