"""Port to the platform's key-value store."""

import typing


class Item(typing.NamedTuple):
    """One key; `value` is ``None`` where it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Listing(typing.NamedTuple):
    """All items under a prefix, read from `revision` on."""

    items: tuple[Item, ...]
    revision: int


class Changes(typing.NamedTuple):
    """What changed after a revision, complete up to `revision`."""

    items: tuple[Item, ...]
    revision: int


class Write(typing.NamedTuple):
    """A value to store, tied to a lease if that is not 0."""

    key: str
    value: bytes
    lease: int = 0


class Store(typing.Protocol):
    """Client of the store.

    Each call raises `exceptions.PlatformUnavailableError` if no answer
    came; a write may then have taken effect, or may do so later.
    """

    async def list(self, prefix):
        """Return a `Listing`; linearizable."""

    async def watch(self, prefix, after, wait_s):
        """Return `Changes` as soon as there are any, or at the end.

        Raises `exceptions.HistoryLostError` if the store dropped them.
        """

    async def read_changes(self, prefix, after):
        """Return `Changes` so far; linearizable, fails like `watch`."""

    async def commit(self, expected, writes=(), deletes=()):
        """Write all or nothing and return the new revision.

        `expected` maps keys to revisions, 0 for a missing key. Raises
        `exceptions.ConflictError` if one differs, and
        `exceptions.LeaseLostError` if a lease has ended.
        """

    async def open_lease(self, ttl_s):
        """Return the number of a new lease."""

    async def renew_lease(self, lease):
        """Renew it; raises `exceptions.LeaseLostError` if it ended."""

    async def end_lease(self, lease):
        """End it and remove its keys."""
