"""HTTP client of a target, with a bounded pool of connections."""

import typing

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests
from geraniumridge._internal.network import http

CONTROL_TIMEOUT_S = 1.0
"""Timeout of a control request, such as a probe or a promotion."""


class TargetStatus(typing.NamedTuple):
    """Status that a target reports; `age_ms` is the age of its data."""

    term: int
    position: int
    is_primary: bool
    age_ms: int

    @property
    def log_position(self):
        """The target's position in the log of its group."""
        return records.LogPosition(self.term, self.position)


class TargetPool:
    """Pool of connections to one target.

    Parameters
    ----------
    address : str
        The target's ``IP:port``.
    limit : int
        Maximum number of connections that are open at the same time.
    """

    def __init__(self, address, limit):
        self._address = address
        self._limit = limit
        self._idle = []
        self._free_connections = trio.Semaphore(limit)

    @property
    def address(self):
        """The target's ``IP:port``."""
        return self._address

    @property
    def in_use_count(self):
        """Number of connections in use; idle ones are not counted."""
        return self._limit - self._free_connections.value

    async def acquire(self):
        """Return an idle or new connection for exclusive use.

        Waits while the maximum number of connections is in use.

        Raises
        ------
        exceptions.NotSentError
            If a new connection cannot be opened.
        """
        await self._free_connections.acquire()
        try:
            while self._idle:
                client = self._idle.pop()
                if client.is_usable:
                    return client
            return await http.open_client(self._address)
        except BaseException:
            self._free_connections.release()
            raise

    async def release(self, client):
        """Return a connection to the pool; close it if it is not usable."""
        if client.is_usable:
            self._idle.append(client)
        else:
            with trio.CancelScope(shield=True):
                await client.close()
        self._free_connections.release()

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()


async def run_request(client, path, data):
    """Send one request to a target and return its answer.

    Parameters
    ----------
    client : http.ClientConnection
        Connection that was acquired from the pool.
    path : str
        Path of the request.
    data : dict
        Body of the request.

    Returns
    -------
    requests.TargetAnswer
        The answer, with the request id of the request.

    Raises
    ------
    exceptions.ConnectionLostError
        If no complete answer with this request id arrives.
    """
    body = msgspec.json.encode(data)
    response = await client.request("POST", path, body)
    try:
        answer = msgspec.json.decode(response.body)
    except msgspec.DecodeError as error:
        raise exceptions.ConnectionLostError(f"target: bad answer: {error}")
    if answer.pop("request_id", None) != data["request_id"]:
        await client.close()
        raise exceptions.ConnectionLostError("target: another's answer")
    return typing.cast(requests.TargetAnswer, answer)


async def call_control(address, path, data=None):
    """Send one control request on a new connection.

    Returns
    -------
    TargetStatus
        The target's status after the request.

    Raises
    ------
    exceptions.NetworkError
        If no answer arrives or the target refuses the request.
    """
    response = await http.fetch(
        address, "POST", path, data or {}, timeout_s=CONTROL_TIMEOUT_S
    )
    answer = msgspec.json.decode(response.body)
    if response.status != 200:
        raise exceptions.ProtocolError(
            f"{address}{path}: {answer.get('detail')}"
        )
    return read_status(answer)


def read_status(answer):
    """Return the status in a target's answer."""
    return TargetStatus(
        answer["term"],
        answer["position"],
        answer["role"] == "primary",
        answer["age_ms"],
    )
