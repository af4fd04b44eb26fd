"""What callers were told of their writes, checked against the last log."""

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
"""Codes which say that nothing of a statement is kept."""


class Oracle:
    """What callers were told of their writes, each of an item of its own."""

    def __init__(self):
        self.acknowledged = []
        self.refused = set()

    def note(self, item, code):
        """Record the first word of an answer and its code."""
        if code == "COMPLETE":
            self.acknowledged.append(item)
        elif code in PROMISES:
            self.refused.add(item)

    def list_violations(self, commits, orders):
        """Return a text for each broken promise.

        Parameters
        ----------
        commits : list of str
            Items in the log of the last primary.
        orders : list of dict
            Orders to promote, as the promotion API saw them.
        """
        kept = set(commits)
        lost = [item for item in self.acknowledged if item not in kept]
        violations = [f"acknowledged, but lost: {item}" for item in lost]
        violations += [f"refused, but kept: {i}" for i in self.refused & kept]
        if len(kept) < len(commits):
            violations.append("a commit is twice in the log")
        return violations + list(_list_fence_violations(orders))


def _list_fence_violations(orders):
    newest = None
    for order in orders:
        if newest is not None and order["fence"] < newest["fence"]:
            yield f"lower fence: {order} after {newest}"
        elif newest is not None and order["fence"] == newest["fence"]:
            if order["holder"] != newest["holder"]:
                yield f"the same fence twice: {order} and {newest}"
        if newest is None or order["fence"] > newest["fence"]:
            newest = order
