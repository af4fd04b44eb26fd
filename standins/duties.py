"""Stand-in for the platform's API that promotes instances and takes usage.

Only one VM at a time may call it, so each call has a fencing token. The
stand-in records the tokens for the tests and does not check those of
promotions. It takes every usage report and lists the violated rules.
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


class UsageCall(typing.NamedTuple):
    """A usage report as it arrived, and when, in seconds."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    at: float


class UsageLedger:
    """Usage reports in the order of their arrival, checked by the rules.

    `calls` has all of them, `counts` those of each window's first report and
    `violations` a text for each violated rule.

    Parameters
    ----------
    lease_s : float
        Time within which holders must not act in the order A, B, A.
    """

    def __init__(self, lease_s=3.0):
        self._lease_s = lease_s
        self.calls = []
        self.counts = {}
        self.violations = []
        self._holders_by_fence = {}

    def note(self, call, is_taken=True):
        """Check a `UsageCall`, and record it unless it is refused."""
        if is_taken:
            known = self.counts.setdefault(call.window, call.counts)
            if known != call.counts:
                self.violations.append(f"other counts than {known}: {call}")
        if any(count < 0 for count in call.counts.values()):
            self.violations.append(f"negative count: {call}")
        highest = max(self._holders_by_fence, default=call.fence)
        if call.fence < highest:
            self.violations.append(f"token below {highest}: {call}")
        holder = self._holders_by_fence.setdefault(call.fence, call.holder)
        if holder != call.holder:
            self.violations.append(f"token of {holder}: {call}")
        if self._is_in_turns(call):
            self.violations.append(f"holders in turns: {call}")
        self.calls.append(call)

    def _is_in_turns(self, call):
        """Return whether the caller acted before another holder's call."""
        has_other = False
        for earlier in reversed(self.calls):
            if call.at - earlier.at > self._lease_s:
                return False
            if earlier.holder != call.holder:
                has_other = True
            elif has_other:
                return True
        return False


class PromotionServer:
    """Server that promotes instances of given groups and takes usage.

    `promotion_calls` records service, instance and fencing token of each
    call once it is carried out, `orders` has the same calls with their
    holders; `lose_answers` is how many of the next calls
    take effect without an answer. While `is_stalled`, calls wait; they are
    carried out afterwards, also those whose sender has given up. `usage` is
    the `UsageLedger`; `refuse_usage` is how many of the next usage reports
    get a 429, and `lose_usage_answers` how many are taken without an answer.

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
        self.usage = UsageLedger()
        self.refuse_usage = 0
        self.lose_usage_answers = 0

    async def start(self, nursery, address):
        """Listen on ``IP:port``."""
        await http.serve(nursery, address, self._handle_request)

    async def _handle_request(self, request):
        body = msgspec.json.decode(request.body)
        fencing_token = int(request.headers["x-geraniumridge-fencing-token"])
        if request.path == "/usage":
            return await self._take_usage(request, body, fencing_token)
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

    async def _take_usage(self, request, body, fencing_token):
        """Take a usage report as soon as it has arrived."""
        call = UsageCall(
            body["window"],
            body["counts"],
            request.headers["x-geraniumridge-lease-holder"],
            fencing_token,
            trio.current_time(),
        )
        is_taken = self.refuse_usage <= 0
        self.usage.note(call, is_taken)
        if not is_taken:
            self.refuse_usage -= 1
            return http.Response(429, b"{}")
        while self.is_stalled:
            await trio.sleep(STALL_POLL_S)
        if self.lose_usage_answers > 0:
            self.lose_usage_answers -= 1
            raise trio.BrokenResourceError
        return http.Response(200, b"{}")
