"""Client of one database instance: a bounded pool of connections."""

import typing

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests
from geraniumridge._internal.network import http

CONTROL_TIMEOUT_S = 1.0


class TargetStatus(typing.NamedTuple):
    """What a target says of itself."""

    term: int
    position: int
    is_primary: bool
    age_ms: int

    @property
    def log_position(self):
        """The target's place in its group's log."""
        return records.LogPosition(self.term, self.position)


class TargetPool:
    """Connections to one target.

    Parameters
    ----------
    address : str
        The target's ``IP:port``.
    limit : int
        Most connections open at a time.
    """

    def __init__(self, address, limit):
        self._address = address
        self._limit = limit
        self._idle = []
        self._free_slots = trio.Semaphore(limit)

    @property
    def address(self):
        """The target's ``IP:port``."""
        return self._address

    @property
    def in_use_count(self):
        """Connections in use, without the idle ones."""
        return self._limit - self._free_slots.value

    async def acquire(self):
        """Return a connection that nobody else uses.

        Raises
        ------
        exceptions.NotSentError
            If none can be opened.
        """
        await self._free_slots.acquire()
        try:
            while self._idle:
                client = self._idle.pop()
                if client.is_usable:
                    return client
            return await http.open_client(self._address)
        except BaseException:
            self._free_slots.release()
            raise

    async def release(self, client):
        """Give a connection back."""
        if client.is_usable:
            self._idle.append(client)
        else:
            with trio.CancelScope(shield=True):
                await client.close()
        self._free_slots.release()

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()


async def run_request(client, path, data):
    """Send one request to a target and return its answer.

    Parameters
    ----------
    client : http.ClientConnection
        A connection that the caller holds.
    path : str
        The target's route.
    data : dict
        Body of the request.

    Returns
    -------
    requests.TargetAnswer
        The answer; its request id is checked.

    Raises
    ------
    exceptions.ConnectionLostError
        Without a whole answer to this very request.
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
    """Send one control request on a connection of its own.

    Returns
    -------
    TargetStatus
        The target's state afterwards.

    Raises
    ------
    exceptions.NetworkError
        Without an answer, or if the target refused.
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
    """Return the status part of a target's answer."""
    return TargetStatus(
        answer["term"],
        answer["position"],
        answer["role"] == "primary",
        answer["age_ms"],
    )
