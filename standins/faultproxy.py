"""TCP proxy that cuts and delays links between real processes.

Run as ``python -m standins.faultproxy --admin IP:port --link
FRONT=BACK ...``. A link's ends are told apart by IP: callers connect
from their own loopback address. While the link between two addresses
is cut, bytes are held and go on when it heals, as on a network that
loses packets; so answers may come very late.

``PUT /admin`` takes ``cuts``, a list of pairs of address prefixes (cut
both ways), and ``delay_ms`` for each passage.
"""

import argparse
import functools

import msgspec
import trio

from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

POLL_S = 0.02
CHUNK_BYTES = 65_536


class Faults:
    """Cuts and delays in force."""

    def __init__(self):
        self.cuts = []
        self.delay_ms = 0

    def is_cut(self, source, target):
        """Tell whether two addresses cannot reach each other."""
        return any(
            (source.startswith(a) and target.startswith(b))
            or (source.startswith(b) and target.startswith(a))
            for a, b in self.cuts
        )

    async def pass_through(self, source, target):
        """Wait until bytes may pass between two addresses."""
        if self.delay_ms:
            await trio.sleep(self.delay_ms / 1000)
        while self.is_cut(source, target):
            await trio.sleep(POLL_S)


async def pump(faults, source, target, receiver, sender):
    """Carry bytes one way until either side ends."""
    try:
        while data := await receiver.receive_some(CHUNK_BYTES):
            await faults.pass_through(source, target)
            await sender.send_all(data)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        pass


async def carry(faults, back, stream):
    """Carry one connection to the address behind a link."""
    source = stream.socket.getpeername()[0]
    host, port = streams.split_address(back)
    try:
        await faults.pass_through(source, host)
        onward = await trio.open_tcp_stream(host, port)
    except OSError:
        await trio.aclose_forcefully(stream)
        return
    async with trio.open_nursery() as nursery:

        async def run(receiver, sender):
            await pump(faults, source, host, receiver, sender)
            nursery.cancel_scope.cancel()

        nursery.start_soon(run, stream, onward)
        nursery.start_soon(run, onward, stream)
    await trio.aclose_forcefully(stream)
    await trio.aclose_forcefully(onward)


async def handle(faults, request):
    """Set the faults in force."""
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
            front, _, back = link.partition("=")
            handler = functools.partial(carry, faults, back)
            await streams.serve(nursery, front, handler)


def main():
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins.faultproxy")
    parser.add_argument("--admin", required=True)
    parser.add_argument("--link", action="append", required=True)
    trio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
