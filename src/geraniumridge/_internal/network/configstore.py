"""The configuration chain in the platform, and commits to it.

Change ``n`` is created under its own key with expected revision 0, so
that of two racing operators exactly one gets the number.
"""

import uuid

import trio

from geraniumridge._internal.decisions import chain
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config

SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_EVERY = 50
SETTLE_TRIES = 20
SETTLE_PAUSE_S = 0.25


def make_change_key(version):
    """Return the platform's key of a numbered change."""
    return f"config/changes/{version}"


async def load_chain(client):
    """Read the whole chain from the platform.

    Parameters
    ----------
    client : platform.PlatformClient
        Where it is kept.

    Returns
    -------
    chain.ConfigChain
        With its newest version in force.
    """
    loaded = chain.ConfigChain()
    entry = await client.get(SNAPSHOT_KEY)
    if entry.value is not None:
        loaded.load_snapshot(chain.decode_snapshot(entry.value))
    while True:
        entry = await client.get(make_change_key(loaded.version + 1))
        if entry.value is None:
            return loaded
        loaded.accept(chain.decode_change(entry.value))


async def commit(client, loaded, author, edits):
    """Append a change to the chain.

    Parameters
    ----------
    client : platform.PlatformClient
        Where the chain is kept.
    loaded : chain.ConfigChain
        The chain that the edits were made on.
    author : str
        Who makes the change.
    edits : sequence of config.Edit
        What it sets and removes.

    Returns
    -------
    int
        The version that the change became.

    Raises
    ------
    exceptions.SettingsError
        If the edits are not valid; nothing was written.
    exceptions.ConflictError
        If another operator came first, naming who.
    exceptions.PlatformUnavailableError
        If the outcome could not be settled.
    """
    chain.apply_edits(loaded.document, edits)
    change = config.Change(
        loaded.version + 1,
        loaded.snapshot.hash,
        uuid.uuid4().hex,
        author,
        tuple(edits),
    )
    key = make_change_key(change.version)
    text = chain.encode_change(change)
    try:
        await client.put(key, text, 0)
    except (
        exceptions.ConflictError,
        exceptions.PlatformUnavailableError,
    ) as error:
        await _settle(client, key, change, error)
    loaded.accept(change)
    if change.version % SNAPSHOT_EVERY == 0:
        await _write_snapshot(client, loaded.snapshot)
    return change.version


async def _settle(client, key, change, error):
    """Find out by the change's own id whether it was written."""
    for _ in range(SETTLE_TRIES):
        try:
            entry = await client.get(key)
        except exceptions.PlatformUnavailableError:
            await trio.sleep(SETTLE_PAUSE_S)
            continue
        if entry.value is None:
            raise exceptions.PlatformUnavailableError(
                f"the change was not written ({error}); try again"
            )
        winner = chain.decode_change(entry.value)
        if winner.id == change.id:
            return
        raise exceptions.ConflictError(
            f"version {change.version} was taken by {winner.author}'s"
            " change; look at it and try again",
            winner,
        )
    raise exceptions.PlatformUnavailableError(
        f"cannot tell whether version {change.version} was written;"
        " run 'geraniumridge status' before trying again"
    )


async def _write_snapshot(client, snapshot):
    """Write a snapshot; any later one makes up for a failure."""
    try:
        entry = await client.get(SNAPSHOT_KEY)
        if entry.value is not None:
            stored = chain.decode_snapshot(entry.value)
            if stored.version >= snapshot.version:
                return
        text = chain.encode_snapshot(snapshot)
        await client.put(SNAPSHOT_KEY, text, entry.revision)
    except exceptions.PlatformError:
        return
