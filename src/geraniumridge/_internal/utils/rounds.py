"""Round-robin iteration over a sequence in bounded batches."""


class RoundRobin:
    """Round-robin iterator over a sequence that may change between calls.

    Parameters
    ----------
    max_items : int
        Largest number of items in a batch.
    """

    def __init__(self, max_items):
        self._max_items = max_items
        self._next = 0

    def take_batch(self, items):
        """Return the next batch, or all items if they fit into one."""
        if len(items) <= self._max_items:
            return items
        first = self._next % len(items)
        self._next = first + self._max_items
        batch = items[first : self._next]
        return batch + items[: self._max_items - len(batch)]
