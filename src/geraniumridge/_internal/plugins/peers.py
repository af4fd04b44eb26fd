"""Calls to and from other daemons over thrift."""

from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import peers
from geraniumridge._internal.network import streams
from geraniumridge._internal.network import wire


@registry.PLUGINS.register("peers")
class Peers(kernel.Plugin):
    """Server of peers' calls and pool of links to peers."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._server = peers.PeerServer(self._settings.security.peer_secret)
        self._pool = None

    def handle(self, message_type, handler):
        """Register the async function that answers messages of a type."""
        self._server.handle(message_type, handler)

    def get_traffic(self):
        """Return the bytes sent and received, and the frames received."""
        sides = (self._server.traffic, self._pool.traffic)
        return {
            "sent_bytes": sum(side.sent_bytes for side in sides),
            "received_bytes": sum(side.received_bytes for side in sides),
            "frames": sum(side.frames for side in sides),
        }

    async def call(self, address, message, timeout_s):
        """Call the daemon at an address, as `PeerPool.call` does."""
        return await self._pool.call(address, message, timeout_s)

    async def start(self, nursery):
        """Listen for peers."""
        settings = self._settings
        hello = wire.messages.Hello(
            vm=settings.vm.name,
            domain=settings.vm.domain,
            secret=settings.security.peer_secret,
        )
        client_tls = streams.make_client_context(settings.tls)
        self._pool = peers.PeerPool(nursery, hello, client_tls)
        await streams.serve(
            nursery,
            settings.listen.peers,
            self._server.serve,
            streams.make_server_context(settings.tls, require_peer=True),
        )
