"""Stand-in for the platform's API that promotes instances.

Only one VM at a time may call it, so each call has a fencing token. The
stand-in records the tokens for the tests and does not check them.
"""

import typing

import msgspec
import trio

from geraniumridge._internal.network import http

STALL_POLL_S = 0.02
"""Interval at which stalled calls check whether they may go on."""


class Order(typing.NamedTuple):
    """An order to promote a target, as it arrived."""

    group: str
    target: str
    holder: str
    fence: int


class PromotionServer:
    """Server that promotes instances of given groups.

    `promotion_calls` records service, instance and fencing token of each
    call once it is carried out, `orders` has the same calls with their
    holders; `lose_answers` is how many of the next calls
    take effect without an answer. While `is_stalled`, calls wait; they are
    carried out afterwards, also those whose sender has given up.

    Parameters
    ----------
    groups : iterable of linegroup.Group
        The groups.
    """

    def __init__(self, groups):
        self._groups = {group.name: group for group in groups}
        self.promotion_calls = []
        self.orders = []
        self.lose_answers = 0
        self.is_stalled = False
        self.arrived_count = 0

    async def start(self, nursery, address):
        """Listen on ``IP:port``."""
        await http.serve(nursery, address, self._handle_request)

    async def _handle_request(self, request):
        body = msgspec.json.decode(request.body)
        fencing_token = int(request.headers["x-geraniumridge-fencing-token"])
        self.arrived_count += 1
        while self.is_stalled:
            await trio.sleep(STALL_POLL_S)
        self.promotion_calls.append(
            (body["service"], body["id"], fencing_token)
        )
        holder = request.headers["x-geraniumridge-lease-holder"]
        self.orders.append(
            Order(body["service"], body["id"], holder, fencing_token)
        )
        group = self._groups[body["service"]]
        is_promoted = await group.promote(body["id"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise trio.BrokenResourceError
        return http.Response(200 if is_promoted else 409, b"{}")
