"""Model of the platform's API for duties of one VM at a time."""

import msgspec
import trio

from geraniumridge._internal.network import http


class Duties:
    """Promotes instances of the groups it knows.

    Parameters
    ----------
    groups : iterable of linegroup.Group
        The groups.
    """

    def __init__(self, groups):
        self._groups = {group.name: group for group in groups}
        self.orders = []
        self.lose_answers = 0

    async def start(self, nursery, address):
        """Listen on ``IP:port``."""
        await http.serve(nursery, address, self._answer)

    async def _answer(self, request):
        body = msgspec.json.decode(request.body)
        fence = int(request.headers["x-geraniumridge-fencing-token"])
        self.orders.append((body["service"], body["id"], fence))
        group = self._groups[body["service"]]
        is_done = await group.promote(body["id"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise trio.BrokenResourceError
        return http.Response(200 if is_done else 409, b"{}")
