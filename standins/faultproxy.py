"""TCP proxy that cuts and delays links between real processes.

Run as ``python -m standins.faultproxy --admin IP:port --link
FRONT=BACK ...``. The ends of a link are identified by IP, as each caller
connects from a loopback address of its own. While a link is cut, its
bytes are held back and delivered once it works again, as TCP does on a
network that loses packets; so an answer may arrive very late.

``PUT /admin`` takes ``cuts``, a list of pairs of address prefixes that
are cut in both directions, and ``delay_ms``, which is added to each new
connection and to each chunk of bytes, in both directions.
"""

import argparse
import functools

import msgspec
import trio

from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

CUT_POLL_INTERVAL_S = 0.02
"""Time between checks whether a cut link works again."""

MAX_READ_BYTES = 65_536
"""Largest number of bytes forwarded at once."""


class Faults:
    """Cuts and delays in force."""

    def __init__(self):
        self.cuts = []
        self.delay_ms = 0

    def is_cut(self, source, destination):
        """Return whether the link between two addresses is cut."""
        return any(
            (source.startswith(a) and destination.startswith(b))
            or (source.startswith(b) and destination.startswith(a))
            for a, b in self.cuts
        )

    async def wait_until_open(self, source, destination):
        """Wait for the delay, and while the link is cut."""
        if self.delay_ms:
            await trio.sleep(self.delay_ms / 1000)
        while self.is_cut(source, destination):
            await trio.sleep(CUT_POLL_INTERVAL_S)


async def copy_bytes(faults, source, destination, reader, writer):
    """Copy bytes in one direction until either side closes."""
    try:
        while data := await reader.receive_some(MAX_READ_BYTES):
            await faults.wait_until_open(source, destination)
            await writer.send_all(data)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        pass


async def forward_connection(faults, back_address, front_stream):
    """Forward a connection to the address behind a link."""
    source = front_stream.socket.getpeername()[0]
    host, port = streams.split_address(back_address)
    try:
        await faults.wait_until_open(source, host)
        back_stream = await trio.open_tcp_stream(host, port)
    except OSError:
        await trio.aclose_forcefully(front_stream)
        return
    async with trio.open_nursery() as nursery:

        async def copy_until_closed(reader, writer):
            await copy_bytes(faults, source, host, reader, writer)
            nursery.cancel_scope.cancel()

        nursery.start_soon(copy_until_closed, front_stream, back_stream)
        nursery.start_soon(copy_until_closed, back_stream, front_stream)
    await trio.aclose_forcefully(front_stream)
    await trio.aclose_forcefully(back_stream)


async def handle(faults, request):
    """Set cuts and delay from a request."""
    data = msgspec.json.decode(request.body or b"{}")
    faults.cuts = data.get("cuts", faults.cuts)
    faults.delay_ms = data.get("delay_ms", faults.delay_ms)
    return http.make_json_response({"cuts": faults.cuts})


async def serve(options):
    """Serve every link until cancelled."""
    faults = Faults()

    async def serve_admin(stream):
        handler = functools.partial(handle, faults)
        await http.ServerConnection(stream, handler).run()

    async with trio.open_nursery() as nursery:
        await streams.serve(nursery, options.admin, serve_admin)
        for link in options.link:
            front_address, _, back_address = link.partition("=")
            handler = functools.partial(
                forward_connection, faults, back_address
            )
            await streams.serve(nursery, front_address, handler)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins.faultproxy")
    parser.add_argument("--admin", required=True)
    parser.add_argument("--link", action="append", required=True)
    trio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
