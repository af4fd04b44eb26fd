"""Port to database targets."""

import typing

from geraniumridge._internal.models import records


class Call(typing.NamedTuple):
    """A statement on its way to a target.

    `id` is empty for statements of the proxy itself. `min_position` is the
    position that the target's log must have reached.
    """

    id: str
    text: bytes
    min_position: records.LogPosition | None = None


class Link(typing.Protocol):
    """One open connection to a target.

    Raises `exceptions.ConnectionLostError` when the connection breaks.
    """

    @property
    def is_open(self):
        """Whether further statements can be sent."""

    async def call(self, calls):
        """Send calls together; return their `statements.Answer` list."""

    def abort(self):
        """Drop the connection and all that was not delivered."""


class Dialect(typing.Protocol):
    """How targets are spoken to; texts are those of the proxy itself."""

    async def open(self, target, team, timeout_s):
        """Return a `Link` as a team.

        Raises `exceptions.TargetRefusedError` with the outcome that
        the target gave, `exceptions.NotSentError` if it is not there.
        """

    def format_reset(self):
        """Return the text that drops values and prepared names."""

    def format_set_value(self, name, value):
        """Return the text that sets a session value."""

    def format_prepare(self, name, definition):
        """Return the text that prepares a statement."""

    def format_deallocate(self, name):
        """Return the text that drops a prepared statement."""

    def format_begin(self, is_read_only):
        """Return the text that begins a transaction."""

    def format_rollback(self):
        """Return the text that rolls a transaction back."""

    async def fetch_status(self, link):
        """Return the `desired.TargetStatus` of a link's target."""

    async def pause_replication(self, link, term):
        """Stop a replica from receiving; returns its status."""

    async def resume_replication(self, link):
        """Let a replica receive again; returns its status."""

    async def step_down(self, link, term):
        """Make a primary of a lower term a replica."""


class Promoter(typing.Protocol):
    """Names the target that leads a group's next term."""

    async def promote(self, group, target, holder, fence):
        """Ask the platform to promote a target.

        Raises `exceptions.TargetRefusedError` if it does not run,
        `exceptions.PlatformUnavailableError` without an answer.
        """
