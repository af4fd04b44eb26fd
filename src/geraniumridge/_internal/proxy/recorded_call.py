"""Calls to the platform that are recorded in the store before they are sent.

The platform does not check fencing tokens. A record is therefore written on
condition that its writer's own fence still holds: whoever takes the fence
over either sees the record or prevents it. What is recorded is sent only if
nothing stands against it right before the call, as the process may have been
suspended since.
"""

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.ports import store as store_port


class NotSentError(exceptions.GeraniumridgeError):
    """Call that was not sent; the message is the reason."""


class FencedRecorder:
    """Writes and removes records under a fence.

    Parameters
    ----------
    store : ports.store.Store
        The platform's store.
    fence_key : str
        Key that has to keep the fence as its revision.
    fence : int
        Fencing token.
    """

    def __init__(self, store, fence_key, fence):
        self._store = store
        self._expected = {fence_key: fence}

    async def record(self, key, value, expected=None, deletes=()):
        """Write a record and return its revision.

        Parameters
        ----------
        key : str
            Key of the record.
        value : bytes
            The record.
        expected : dict of str, optional
            Further keys with the revisions that they must have.
        deletes : list of str, optional
            Keys of records to delete in the same transaction.

        Raises
        ------
        exceptions.PlatformError
            If that failed; without an answer it may take effect later.
        """
        return await self._store.commit(
            {**self._expected, **(expected or {})},
            [store_port.Write(key, value)],
            list(deletes),
        )

    async def remove(self, key, revision):
        """Delete a record unless it has another revision by then."""
        expected = {**self._expected, key: revision}
        await self._store.commit(expected, deletes=[key])


async def send(connect, prepare, find_obstacle, transmit):
    """Connect, prepare a call, check it and send it.

    Parameters
    ----------
    connect : callable
        Async function that opens a connection, which has `close`.
    prepare : callable or None
        Async function that is called once the connection is open, to record
        the call. Returns the reason against it, or None.
    find_obstacle : callable
        Called right before the call leaves; returns the reason against it,
        or None.
    transmit : callable
        Async function of the connection that sends the call at once.

    Returns
    -------
    object
        What `transmit` returns; its exceptions are passed on.

    Raises
    ------
    NotSentError
        If the call was not sent.
    """
    try:
        connection = await connect()
    except exceptions.NetworkError as error:
        raise NotSentError(str(error))
    try:
        why = await prepare() if prepare is not None else None
        why = why or find_obstacle()
        if why is not None:
            raise NotSentError(why)
        return await transmit(connection)
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()
