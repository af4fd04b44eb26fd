"""Interfaces of database targets, their promotion and usage reports.

The proxy on the users' platform uses them.
"""

import typing

from geraniumridge._internal.models import records


class Call(typing.NamedTuple):
    """A statement to send to a target.

    `id` is empty for statements of the proxy itself. `min_position` is the
    position that the target's log must have reached. `send_rows` is an
    async function that takes the rows of a large answer, in parts; the
    answer then has the remaining ones. Without it the answer has all.
    `hold_rows` is an async function of the number of bytes of rows that are
    held from then on; it returns once there is room for them.
    `requires_primary` is whether the target has to be the group's primary.
    """

    id: str
    text: bytes
    min_position: records.LogPosition | None = None
    send_rows: typing.Callable | None = None
    hold_rows: typing.Callable | None = None
    requires_primary: bool = False


class Transport(typing.Protocol):
    """Bytes to and from a target.

    `send` and `receive` raise `OSError` or `exceptions.ConnectionLostError`
    when the connection breaks.
    """

    @property
    def is_idle(self):
        """Whether the connection is open, without unread input."""

    async def send(self, data, requires_primary=False):
        """Send all of some bytes.

        Raises `exceptions.NotSentError` if the target certainly does not
        get them. `requires_primary` is whether it has to be the primary for
        them.
        """

    async def receive(self):
        """Return the next bytes, empty at the end of the connection."""

    def abort(self):
        """Reset the connection; undelivered bytes are dropped."""


class Link(typing.Protocol):
    """One open connection to a target.

    `call` raises `exceptions.ConnectionLostError` when the connection
    breaks.
    """

    @property
    def is_open(self):
        """Whether further statements can be sent."""

    @property
    def transport(self):
        """The `Transport` that carries its bytes."""

    async def call(self, calls):
        """Send calls in one batch; return their `statements.Answer` list."""

    def abort(self):
        """Reset the connection; undelivered bytes are dropped."""


class Dialect(typing.Protocol):
    """Protocol of targets: how to connect, and the proxy's statements.

    The ``format_*`` methods return statements that the proxy sends on
    its own; callers' statements are forwarded unchanged.
    """

    async def open(self, target, team, timeout_s):
        """Return a `Link` with a session of a team.

        Raises `exceptions.TargetRefusedError` with the outcome that
        the target gave, `exceptions.NotSentError` if no connection
        came about within `timeout_s`.
        """

    def attach(self, transport, name):
        """Return a `Link` on a session that has been started.

        `name` is that of the target, for error messages.
        """

    def format_reset(self):
        """Return the statement that clears values and prepared names."""

    def format_set_value(self, name, value):
        """Return the statement that sets a session value."""

    def format_prepare(self, name, definition):
        """Return the statement that prepares another statement."""

    def format_deallocate(self, name):
        """Return the statement that drops a prepared statement."""

    def format_begin(self, is_read_only):
        """Return the statement that begins a transaction."""

    def format_rollback(self):
        """Return the statement that rolls a transaction back."""

    async def fetch_status(self, link):
        """Return the `desired.TargetStatus` of a link's target."""

    async def pause_replication(self, link, term):
        """Make a replica stop receiving the log; return its status.

        Its status reports `term` until it receives the log again.
        """

    async def resume_replication(self, link):
        """Make a replica receive the log again; return its status."""

    async def step_down(self, link, term):
        """Make a primary of a lower term a replica; return its status."""


class PromotionCall(typing.Protocol):
    """Open connection to the platform for one order to promote a target."""

    async def send(self, group, order):
        """Send an order at once and wait for its answer.

        `order` is a `fleet.PromotionOrder` for the group. Raises
        `exceptions.TargetRefusedError` if it is not carried out, and
        `exceptions.PlatformUnavailableError` without an answer; it may
        then be carried out much later.
        """

    async def close(self):
        """Close the connection at once."""


class Promoter(typing.Protocol):
    """Client that orders the platform to promote targets."""

    async def connect(self):
        """Return an open `PromotionCall`.

        Raises `exceptions.NotSentError` if the platform is out of reach.
        """


class UsageCall(typing.Protocol):
    """Open connection to the platform for one usage report."""

    async def send(self, report, holder, fence):
        """Send a report at once and wait until the platform has taken it.

        `report` is a `reports.UsageReport`, `holder` the VM's name and
        `fence` its fencing token. Raises `exceptions.TargetRefusedError`
        if the platform answers with an error, and
        `exceptions.PlatformUnavailableError` without an answer.
        """

    async def close(self):
        """Reset the connection; undelivered bytes are dropped."""


class UsageReceiver(typing.Protocol):
    """Client that sends usage reports to the platform."""

    async def connect(self):
        """Return an open `UsageCall`.

        Raises `exceptions.NotSentError` if the platform is out of reach.
        """
