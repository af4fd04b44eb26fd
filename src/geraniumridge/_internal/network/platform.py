"""Client of the platform's key-value store over HTTP."""

import typing
import urllib.parse

import msgspec
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records
from geraniumridge._internal.network import http
from geraniumridge._internal.utils import codec


class Entry(typing.NamedTuple):
    """Value and revision of a key; revision 0 if the key is absent."""

    value: typing.Any
    revision: int


class PlatformClient:
    """Client that reads, compare-and-swaps and watches keys.

    All calls share one connection, one call at a time; each watch opens
    a connection of its own.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_s : float, optional
        Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout_s=1.0):
        self._address = address
        self._timeout_s = timeout_s
        self._connection = None
        self._lock = trio.Lock()

    async def get(self, key):
        """Return the entry of a key."""
        response = await self._call("GET", _get_path(key))
        return _parse_entry(response)

    async def put(self, key, value, expected_revision):
        """Write a key if its revision is still the expected one.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        exceptions.ConflictError
            If the key's revision is another one.
        exceptions.PlatformUnavailableError
            If no answer arrives; the write may have taken effect.
        """
        body = {"value": value, "expected_revision": expected_revision}
        response = await self._call("PUT", _get_path(key), body)
        if response.status == 409:
            store_entry = msgspec.json.decode(response.body)
            raise exceptions.ConflictError(
                f"{key}: changed by another writer", store_entry.get("value")
            )
        return _parse_entry(response).revision

    async def watch(self, key, after_revision, wait_s):
        """Wait until a key's revision differs, or for `wait_s` seconds."""
        path = _get_path(key)
        path += f"?after={after_revision}&wait_s={wait_s}"
        try:
            response = await http.fetch(
                self._address,
                "GET",
                path,
                timeout_s=wait_s + self._timeout_s,
            )
        except exceptions.NetworkError as error:
            raise exceptions.PlatformUnavailableError(f"platform: {error}")
        return _parse_entry(_check_status(response))

    async def list_vms(self):
        """Return the platform's list of VMs, which may be out of date."""
        response = await self._call("GET", "/vms")
        data = msgspec.json.decode(response.body)
        return [
            codec.decode(records.VmEntry, item, "platform list of VMs")
            for item in data["vms"]
        ]

    async def _call(self, method, path, data=None):
        body = b"" if data is None else msgspec.json.encode(data)
        try:
            with trio.fail_after(self._timeout_s):
                async with self._lock:
                    return _check_status(await self._send(method, path, body))
        except (exceptions.NetworkError, trio.TooSlowError) as error:
            raise exceptions.PlatformUnavailableError(f"platform: {error}")

    async def _send(self, method, path, body):
        connection, self._connection = self._connection, None
        if connection is None:
            connection = await http.open_client(self._address)
        try:
            response = await connection.request(method, path, body)
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.close()
            raise
        if connection.is_usable:
            self._connection = connection
        else:
            await connection.close()
        return response


def _get_path(key):
    return "/kv/" + urllib.parse.quote(key)


def _check_status(response):
    if response.status >= 500:
        raise exceptions.PlatformUnavailableError(
            f"platform: status {response.status}"
        )
    return response


def _parse_entry(response):
    try:
        data = msgspec.json.decode(response.body)
        return Entry(data["value"], data["revision"])
    except (msgspec.DecodeError, KeyError, TypeError) as error:
        raise exceptions.PlatformError(f"platform: bad answer: {error}")
