"""Rows of a large answer on their way to a caller."""


class RowStream:
    """Passes rows on to one caller before the answer is complete.

    Parameters
    ----------
    send : callable or None
        Async function of a sequence of rows. Without it, an answer keeps all
        its rows.
    started_at : float
        Time on trio's clock, in seconds, at which the statement arrived.
    hold : callable, optional
        See `ports.targets.Call.hold_rows`.
    """

    def __init__(self, send=None, started_at=0.0, hold=None):
        self._send = send
        self._hold = hold
        self._started_at = started_at
        self._has_begun = False
        self._on_begin = None

    @property
    def started_at(self):
        """Time on trio's clock, in seconds, at which the statement arrived."""
        return self._started_at

    @property
    def has_begun(self):
        """Whether the caller has received rows.

        The statement cannot run anywhere else then.
        """
        return self._has_begun

    @property
    def send_rows(self):
        """The function for `ports.targets.Call.send_rows`."""
        return None if self._send is None else self._pass_on

    @property
    def hold_rows(self):
        """The function for `ports.targets.Call.hold_rows`."""
        return self._hold

    def extend_on_begin(self, scope, deadline):
        """Move a scope's deadline to a later one with the first rows.

        The statement then has no further attempt to leave time for.
        """

        def extend():
            scope.deadline = max(scope.deadline, deadline)

        self._on_begin = extend

    async def _pass_on(self, rows):
        if not self._has_begun:
            self._has_begun = True
            self._on_begin()
        await self._send(rows)
