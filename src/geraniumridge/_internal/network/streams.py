"""TCP streams, with TLS if it is configured."""

import socket
import ssl
import struct

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.utils import addresses

CONNECT_TIMEOUT_S = 1.0
"""Default timeout of a connection attempt, TLS handshake included."""

ZERO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value with which closing resets the connection."""

_source_host = trio.lowlevel.RunVar("source_host", default=None)


def set_source_host(host):
    """Set the local address of outgoing connections of this trio run."""
    _source_host.set(host)


def split_address(address):
    """Return the host and port of ``IP:port``.

    Raises
    ------
    exceptions.NotSentError
        If the address is malformed.
    """
    try:
        return addresses.split(address)
    except ValueError as error:
        raise exceptions.NotSentError(str(error))


def make_server_context(tls, require_peer):
    """Return the server side's TLS context, or None without TLS.

    Parameters
    ----------
    tls : models.settings.TlsSettings or None
        Paths of certificate, key and certificate authority.
    require_peer : bool
        Whether clients must present a certificate of the authority.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if require_peer:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls):
    """Return the client side's TLS context, or None without TLS."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


async def connect(address, tls=None, timeout_s=CONNECT_TIMEOUT_S):
    """Open a connection.

    Parameters
    ----------
    address : str
        ``IP:port``.
    tls : ssl.SSLContext, optional
        Client context.
    timeout_s : float, optional
        Timeout including the TLS handshake, in seconds.

    Raises
    ------
    exceptions.NotSentError
        If the connection cannot be opened.
    """
    host, port = split_address(address)
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(
                host, port, local_address=_source_host.get()
            )
            if tls is None:
                return stream
            tls_stream = trio.SSLStream(stream, tls, server_hostname=host)
            await tls_stream.do_handshake()
            return tls_stream
    except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
        raise exceptions.NotSentError(f"{address}: cannot connect: {error}")


def drop_undelivered(stream, timeout_s):
    """Bound the time in which the kernel delivers what a stream sends.

    Parameters
    ----------
    stream : trio.SocketStream
        Open connection without TLS; it is reset when it is closed.
    timeout_s : float
        Longest time that sent bytes may remain unacknowledged.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000)
    )


async def serve(nursery, address, handler, tls=None):
    """Listen on an address and call the handler for each connection.

    Returns
    -------
    trio.CancelScope
        Cancel it to close the listener; open connections stay open.

    Raises
    ------
    exceptions.NetworkError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    try:
        listeners = await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        raise exceptions.NetworkError(f"{address}: cannot listen: {error}")
    if tls is not None:
        listeners = [
            trio.SSLListener(item, tls, https_compatible=True)
            for item in listeners
        ]
    scope = trio.CancelScope()

    async def accept_all():
        with scope:
            await trio.serve_listeners(
                handler, listeners, handler_nursery=nursery
            )

    nursery.start_soon(accept_all)
    return scope
