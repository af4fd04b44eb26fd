"""Interface of the key-value store for the proxy on the users' platform."""

import typing


class Item(typing.NamedTuple):
    """One key and its value, which is ``None`` if it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Listing(typing.NamedTuple):
    """All items under a prefix; changes may be read from `revision` on."""

    items: tuple[Item, ...]
    revision: int


class Changes(typing.NamedTuple):
    """Items that changed after a revision, complete up to `revision`."""

    items: tuple[Item, ...]
    revision: int


class Write(typing.NamedTuple):
    """A value to store, attached to a lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


class Store(typing.Protocol):
    """Client of the store.

    Each call raises `exceptions.PlatformUnavailableError` if there is
    no answer. A write may then have taken effect, or may still do so.
    """

    async def list(self, prefix):
        """Return a `Listing`; the read is linearizable."""

    async def watch(self, prefix, after, wait_s):
        """Return `Changes` once there are any, or after `wait_s`.

        Raises `exceptions.HistoryLostError` if the store no longer
        keeps the changes after revision `after`.
        """

    async def read_changes(self, prefix, after):
        """Return the `Changes` so far, without waiting.

        The read is linearizable; errors are those of `watch`.
        """

    async def commit(self, expected, writes=(), deletes=()):
        """Apply all changes or none and return the new revision.

        `expected` maps keys to their revisions, 0 for a missing key.
        Raises `exceptions.ConflictError` if one of them differs, and
        `exceptions.LeaseLostError` if a lease has ended.
        """

    async def open_lease(self, ttl_s):
        """Open a lease and return its number."""

    async def renew_lease(self, lease):
        """Renew a lease; raise `exceptions.LeaseLostError` if it ended."""

    async def end_lease(self, lease):
        """End a lease and remove its keys."""
