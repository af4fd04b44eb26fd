"""Admission: a token for each request, drawn before it runs."""

import collections
import math

import trio

from geraniumridge._internal.decisions import admission
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import limiter

CALL_TIMEOUT_S = 0.5
RETRY_S = 0.05
UNREACHABLE_WAIT_S = 6.0
MAX_WAITING = 256


class _Waiter:
    """A request that waits for a token."""

    __slots__ = ("event", "arrived_at", "error")

    def __init__(self, now):
        self.event = trio.Event()
        self.arrived_at = now
        self.error = None


class _Team:
    """One team's tokens and waiting requests on this VM."""

    def __init__(self):
        self.pool = admission.TokenPool()
        self.waiting = collections.deque()
        self.is_drawing = False
        self.limiters = {}
        self.refuse_until = -math.inf


@registry.PLUGINS.register("admission")
class Admission(kernel.Plugin):
    """Draws tokens from the domain's limiter, then from others."""

    def __init__(self, owner):
        super().__init__(owner)
        self._teams = {}

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._limiter = self._kernel.get("limiter")
        self._membership = self._kernel.get("membership")
        self._metrics = self._kernel.get("metrics")
        self._peers = self._kernel.get("peers")

    async def admit(self, name):
        """Wait for a token of a team.

        Raises
        ------
        exceptions.RateLimitedError
            If every reachable bucket is empty.
        exceptions.UnavailableError
            If no limiter could be reached.
        """
        team = self._teams.setdefault(name, _Team())
        now = trio.current_time()
        team.pool.note_request(now)
        if not team.waiting and team.pool.take_token(now):
            return
        if now < team.refuse_until or len(team.waiting) >= MAX_WAITING:
            raise _make_refusal(name, team.refuse_until - now)
        waiter = _Waiter(now)
        team.waiting.append(waiter)
        if not team.is_drawing:
            team.is_drawing = True
            self._nursery.start_soon(self._draw, name, team)
        try:
            await waiter.event.wait()
        except trio.Cancelled:
            if waiter in team.waiting:
                team.waiting.remove(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error

    async def _draw(self, name, team):
        """Draw until nobody waits."""
        try:
            while team.waiting:
                retry_after_s, reached = await self._draw_round(name, team)
                if not team.waiting:
                    return
                self._refuse_late(name, team, retry_after_s, reached)
                await trio.sleep(min(retry_after_s, RETRY_S))
        finally:
            team.is_drawing = False

    async def _draw_round(self, name, team):
        """Ask each domain's limiter in turn while requests wait.

        Returns
        -------
        tuple of float and bool
            When a token may be there, in seconds, and whether any
            limiter answered.
        """
        retry_after_s = math.inf
        reached = False
        for domain in self._list_domains():
            try:
                grant = await self._ask(name, team, domain)
            except (exceptions.NetworkError, exceptions.RequestError):
                continue
            reached = True
            self._serve(team)
            if not team.waiting:
                return 0.0, True
            if grant.retry_after_s >= 0:
                retry_after_s = min(retry_after_s, grant.retry_after_s)
        return retry_after_s, reached

    def _list_domains(self):
        own = self._settings.vm.domain
        document = self._configuration.document
        others = [
            name
            for name, entry in document.domains.items()
            if name != own and entry.in_service
        ]
        return [own, *others]

    async def _ask(self, name, team, domain):
        placement = limiter.make_placement(name)
        owner = self._membership.find_owner(domain, placement)
        if owner is None:
            raise exceptions.UnavailableError(f"no limiter in {domain}")
        sent_at = trio.current_time()
        own = domain == self._settings.vm.domain
        closed = team.pool.pop_closed_batches(sent_at, domain)
        message = wire.messages.Draw(
            team=name,
            waiting=len(team.waiting),
            prepaid=team.pool.get_prepaid_count(sent_at) if own else 0,
            closed=closed,
            limiter=team.limiters.get(domain, ""),
        )
        try:
            if owner == self._membership.me:
                grant = await self._limiter.answer_draw(message)
            else:
                grant = await self._peers.call(
                    owner.address, message, CALL_TIMEOUT_S
                )
        except exceptions.GeraniumridgeError:
            team.pool.add_closed_batches(domain, closed)
            raise
        team.limiters[domain] = grant.limiter
        if grant.granted:
            expires_at = sent_at + grant.valid_s
            team.pool.add_batch(domain, grant.batch, grant.granted, expires_at)
            self._metrics.count("tokens" if own else "tokens_borrowed")
        return grant

    def _serve(self, team):
        now = trio.current_time()
        while team.waiting and team.pool.take_token(now):
            team.waiting.popleft().event.set()

    def _refuse_late(self, name, team, retry_after_s, reached):
        """Refuse the requests that have waited for long enough."""
        now = trio.current_time()
        limit_s = self._settings.limits.admission_wait_s
        if not reached:
            limit_s = UNREACHABLE_WAIT_S
        while team.waiting:
            waited_s = now - team.waiting[0].arrived_at
            if waited_s < limit_s and not math.isinf(retry_after_s):
                return
            if waited_s < limit_s and not reached:
                return
            waiter = team.waiting.popleft()
            waiter.error = _make_refusal(name, retry_after_s)
            if not reached:
                waiter.error = exceptions.UnavailableError(
                    f"team {name}: no limiter can be reached"
                )
            waiter.event.set()
        if reached:
            team.refuse_until = now + min(retry_after_s, RETRY_S)


def _make_refusal(name, retry_after_s):
    if math.isinf(retry_after_s) or retry_after_s <= 0:
        retry_after_s = 1.0
    return exceptions.RateLimitedError(
        f"team {name} is above its rate", retry_after_s
    )
