"""Reads and commits of the configuration chain in the platform.

Change ``n`` is created under its own key with expected revision 0, so
that exactly one of two concurrent operators commits version ``n``.
"""

import uuid

import trio

from geraniumridge._internal.decisions import chain
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config

SNAPSHOT_KEY = "config/snapshot"
"""Key of the newest snapshot in the platform."""

CHANGES_PER_SNAPSHOT = 50
"""Changes after which a commit also writes a snapshot, which bounds how
many changes a VM reads at its start."""

OUTCOME_ATTEMPTS = 20
"""Reads that find out whether a commit with an unknown outcome was
written, before the operator is told that it is unknown."""

OUTCOME_RETRY_DELAY_S = 0.25
"""Delay between these reads while the platform cannot be reached."""


def make_change_key(version):
    """Return the key of a change in the platform."""
    return f"config/changes/{version}"


async def load_chain(client):
    """Read the whole chain from the platform.

    Parameters
    ----------
    client : platform.PlatformClient
        Client of the store that holds the chain.

    Returns
    -------
    chain.ConfigChain
        The chain up to the newest version.
    """
    config_chain = chain.ConfigChain()
    store_entry = await client.get(SNAPSHOT_KEY)
    if store_entry.value is not None:
        config_chain.load_snapshot(chain.decode_snapshot(store_entry.value))
    while True:
        store_entry = await client.get(
            make_change_key(config_chain.version + 1)
        )
        if store_entry.value is None:
            return config_chain
        config_chain.accept(chain.decode_change(store_entry.value))


async def commit_edits(client, config_chain, author, edits):
    """Commit edits as the next change of the chain.

    Parameters
    ----------
    client : platform.PlatformClient
        Client of the store that holds the chain.
    config_chain : chain.ConfigChain
        The chain that the edits are based on; it accepts the change.
    author : str
        Name of the operator who makes the change.
    edits : sequence of config.Edit
        Entries to set and to remove.

    Returns
    -------
    int
        The version of the change.

    Raises
    ------
    exceptions.SettingsError
        If the edits are not valid; nothing was written.
    exceptions.ConflictError
        If another operator committed this version; it names the author.
    exceptions.PlatformUnavailableError
        If the change was not written or the outcome is unknown.
    """
    chain.apply_edits(config_chain.document, edits)
    change = config.Change(
        config_chain.version + 1,
        config_chain.snapshot.hash,
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
        await _find_outcome(client, key, change, error)
    config_chain.accept(change)
    if change.version % CHANGES_PER_SNAPSHOT == 0:
        await _write_snapshot(client, config_chain.snapshot)
    return change.version


async def _find_outcome(client, key, change, error):
    """Return if the stored change has this change's id, else raise."""
    for _ in range(OUTCOME_ATTEMPTS):
        try:
            store_entry = await client.get(key)
        except exceptions.PlatformUnavailableError:
            await trio.sleep(OUTCOME_RETRY_DELAY_S)
            continue
        if store_entry.value is None:
            raise exceptions.PlatformUnavailableError(
                f"the change was not written ({error}); try again"
            )
        stored_change = chain.decode_change(store_entry.value)
        if stored_change.id == change.id:
            return
        raise exceptions.ConflictError(
            f"version {change.version} was taken by {stored_change.author}'s"
            " change; look at it and try again",
            stored_change,
        )
    raise exceptions.PlatformUnavailableError(
        f"cannot tell whether version {change.version} was written;"
        " run 'geraniumridge status' before trying again"
    )


async def _write_snapshot(client, snapshot):
    """Write a snapshot unless a newer one is stored.

    A failure is ignored, as a later commit writes a newer snapshot.
    """
    try:
        store_entry = await client.get(SNAPSHOT_KEY)
        if store_entry.value is not None:
            stored = chain.decode_snapshot(store_entry.value)
            if stored.version >= snapshot.version:
                return
        text = chain.encode_snapshot(snapshot)
        await client.put(SNAPSHOT_KEY, text, store_entry.revision)
    except exceptions.PlatformError:
        return
