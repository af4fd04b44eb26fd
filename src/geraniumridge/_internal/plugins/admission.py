"""Admission of requests, each of which takes a token of its team."""

import collections
import math

import trio

from geraniumridge._internal.decisions import admission
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import limiter

TOKEN_REQUEST_TIMEOUT_S = 0.5
"""Timeout of one token request to a limiter."""

MAX_RETRY_DELAY_S = 0.05
"""Longest delay between two rounds of token requests. After a round that
refused all waiting requests, new ones are refused for at most as long."""

UNREACHABLE_LIMITER_WAIT_S = 6.0
"""Longest wait of a request while no limiter answers; it replaces
`limits.admission_wait_s`, which applies to an empty bucket."""

MAX_WAITING_REQUESTS = 256
"""Requests of one team that may wait for a token on this VM; further ones
are refused."""


class _WaitingRequest:
    """Request that waits for a token; `event` is set once it is decided."""

    __slots__ = ("event", "arrived_at", "error")

    def __init__(self, now):
        self.event = trio.Event()
        self.arrived_at = now
        self.error = None


class _TeamQueue:
    """Local tokens and waiting requests of one team.

    `limiter_ids` are the limiters that last answered, by domain.
    """

    def __init__(self):
        self.pool = admission.TokenPool()
        self.waiting = collections.deque()
        self.is_requesting = False
        self.limiter_ids = {}
        self.refuse_until = -math.inf


@registry.PLUGINS.register("admission")
class Admission(kernel.Plugin):
    """Local tokens of each team, requested from the teams' limiters.

    The limiter of this VM's own domain is asked first, then those of
    other domains.
    """

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._queues = {}

    async def start(self, nursery):
        """Look up the other plug-ins."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._limiter = self._kernel.get("limiter")
        self._membership = self._kernel.get("membership")
        self._metrics = self._kernel.get("metrics")
        self._peers = self._kernel.get("peers")

    async def admit(self, team):
        """Take a token of a team, and wait for one if necessary.

        Raises
        ------
        exceptions.RateLimitedError
            If no reachable limiter grants a token in time, or too many
            requests wait.
        exceptions.UnavailableError
            If no limiter can be reached.
        """
        queue = self._queues.setdefault(team, _TeamQueue())
        now = trio.current_time()
        queue.pool.note_request(now)
        if not queue.waiting and queue.pool.take_token(now):
            return
        if (
            now < queue.refuse_until
            or len(queue.waiting) >= MAX_WAITING_REQUESTS
        ):
            raise _make_refusal(team, queue.refuse_until - now)
        waiter = _WaitingRequest(now)
        queue.waiting.append(waiter)
        if not queue.is_requesting:
            queue.is_requesting = True
            self._nursery.start_soon(self._request_tokens, team, queue)
        try:
            await waiter.event.wait()
        except trio.Cancelled:
            if waiter in queue.waiting:
                queue.waiting.remove(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error

    async def _request_tokens(self, team, queue):
        """Request tokens until no request of the team waits."""
        try:
            while queue.waiting:
                retry_after_s, reached = await self._request_from_domains(
                    team, queue
                )
                if not queue.waiting:
                    return
                self._refuse_overdue(team, queue, retry_after_s, reached)
                await trio.sleep(min(retry_after_s, MAX_RETRY_DELAY_S))
        finally:
            queue.is_requesting = False

    async def _request_from_domains(self, team, queue):
        """Request tokens from one domain after another.

        Returns
        -------
        tuple of float and bool
            Seconds until a limiter may have a token, and whether any
            limiter answered.
        """
        retry_after_s = math.inf
        reached = False
        for domain in self._list_domains():
            try:
                grant = await self._request_from_domain(team, queue, domain)
            except (exceptions.NetworkError, exceptions.RequestError):
                continue
            reached = True
            self._admit_waiting(queue)
            if not queue.waiting:
                return 0.0, True
            if grant.retry_after_s >= 0:
                retry_after_s = min(retry_after_s, grant.retry_after_s)
        return retry_after_s, reached

    def _list_domains(self):
        own_domain = self._settings.vm.domain
        document = self._configuration.document
        others = [
            domain
            for domain, entry in document.domains.items()
            if domain != own_domain and entry.in_service
        ]
        return [own_domain, *others]

    async def _request_from_domain(self, team, queue, domain):
        placement_key = limiter.make_placement_key(team)
        owner = self._membership.find_owner(domain, placement_key)
        if owner is None:
            raise exceptions.UnavailableError(f"no limiter in {domain}")
        sent_at = trio.current_time()
        is_own_domain = domain == self._settings.vm.domain
        closed = queue.pool.pop_closed_batches(sent_at, domain)
        message = wire.messages.Draw(
            team=team,
            waiting=len(queue.waiting),
            prepaid=(
                queue.pool.get_prepaid_count(sent_at) if is_own_domain else 0
            ),
            closed=closed,
            limiter=queue.limiter_ids.get(domain, ""),
        )
        try:
            if owner == self._membership.me:
                grant = await self._limiter.grant_tokens(message)
            else:
                grant = await self._peers.call(
                    owner.address, message, TOKEN_REQUEST_TIMEOUT_S
                )
        except exceptions.GeraniumridgeError:
            queue.pool.add_closed_batches(domain, closed)
            raise
        queue.limiter_ids[domain] = grant.limiter
        if grant.granted:
            expires_at = sent_at + grant.valid_s
            queue.pool.add_batch(
                domain, grant.batch, grant.granted, expires_at
            )
            self._metrics.count(
                "tokens" if is_own_domain else "tokens_borrowed"
            )
        return grant

    def _admit_waiting(self, queue):
        now = trio.current_time()
        while queue.waiting and queue.pool.take_token(now):
            queue.waiting.popleft().event.set()

    def _refuse_overdue(self, team, queue, retry_after_s, reached):
        """Refuse requests that have waited too long.

        If the limiters answer that no token will come, all are refused.
        """
        now = trio.current_time()
        limit_s = self._settings.limits.admission_wait_s
        if not reached:
            limit_s = UNREACHABLE_LIMITER_WAIT_S
        while queue.waiting:
            waited_s = now - queue.waiting[0].arrived_at
            if waited_s < limit_s and not math.isinf(retry_after_s):
                return
            if waited_s < limit_s and not reached:
                return
            waiter = queue.waiting.popleft()
            waiter.error = _make_refusal(team, retry_after_s)
            if not reached:
                waiter.error = exceptions.UnavailableError(
                    f"team {team}: no limiter can be reached"
                )
            waiter.event.set()
        if reached:
            queue.refuse_until = now + min(retry_after_s, MAX_RETRY_DELAY_S)


def _make_refusal(team, retry_after_s):
    if math.isinf(retry_after_s) or retry_after_s <= 0:
        retry_after_s = 1.0
    return exceptions.RateLimitedError(
        f"team {team} is above its rate", retry_after_s
    )
