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


class _TeamAdmission:
    """Local tokens and waiting requests of one team.

    New requests are refused until `refuse_until`.

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
        self._team_admissions = {}

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
        team_admission = self._team_admissions.setdefault(
            team, _TeamAdmission()
        )
        now = trio.current_time()
        team_admission.pool.note_request(now)
        if not team_admission.waiting and team_admission.pool.take_token(now):
            return
        if (
            now < team_admission.refuse_until
            or len(team_admission.waiting) >= MAX_WAITING_REQUESTS
        ):
            raise _make_refusal(team, team_admission.refuse_until - now)
        waiter = _WaitingRequest(now)
        team_admission.waiting.append(waiter)
        if not team_admission.is_requesting:
            team_admission.is_requesting = True
            self._nursery.start_soon(
                self._request_tokens, team, team_admission
            )
        try:
            await waiter.event.wait()
        except trio.Cancelled:
            if waiter in team_admission.waiting:
                team_admission.waiting.remove(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error

    async def _request_tokens(self, team, team_admission):
        """Request tokens until no request of the team waits."""
        try:
            while team_admission.waiting:
                retry_after_s, reached = await self._request_from_domains(
                    team, team_admission
                )
                if not team_admission.waiting:
                    return
                self._refuse_overdue(
                    team, team_admission, retry_after_s, reached
                )
                await trio.sleep(min(retry_after_s, MAX_RETRY_DELAY_S))
        finally:
            team_admission.is_requesting = False

    async def _request_from_domains(self, team, team_admission):
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
                grant = await self._request_from_domain(
                    team, team_admission, domain
                )
            except (exceptions.NetworkError, exceptions.RequestError):
                continue
            reached = True
            self._admit_waiting(team_admission)
            if not team_admission.waiting:
                return 0.0, True
            if grant.retry_after_s >= 0:
                retry_after_s = min(retry_after_s, grant.retry_after_s)
        return retry_after_s, reached

    def _list_domains(self):
        own_domain = self._settings.vm.domain
        document = self._configuration.document
        others = [
            domain
            for domain, domain_entry in document.domains.items()
            if domain != own_domain and domain_entry.in_service
        ]
        return [own_domain, *others]

    async def _request_from_domain(self, team, team_admission, domain):
        placement_key = limiter.make_placement_key(team)
        owner = self._membership.find_owner(domain, placement_key)
        if owner is None:
            raise exceptions.UnavailableError(f"no limiter in {domain}")
        sent_at = trio.current_time()
        is_own_domain = domain == self._settings.vm.domain
        closed = team_admission.pool.pop_closed_batches(sent_at, domain)
        message = wire.messages.Draw(
            team=team,
            waiting=len(team_admission.waiting),
            prepaid=(
                team_admission.pool.get_prepaid_count(sent_at)
                if is_own_domain
                else 0
            ),
            closed=closed,
            limiter=team_admission.limiter_ids.get(domain, ""),
        )
        try:
            if owner == self._membership.me:
                grant = await self._limiter.answer_token_request(message)
            else:
                grant = await self._peers.call(
                    owner.address, message, TOKEN_REQUEST_TIMEOUT_S
                )
        except exceptions.GeraniumridgeError:
            team_admission.pool.add_closed_batches(domain, closed)
            raise
        team_admission.limiter_ids[domain] = grant.limiter
        if grant.granted:
            expires_at = sent_at + grant.valid_s
            team_admission.pool.add_batch(
                domain, grant.batch, grant.granted, expires_at
            )
            # Counts grants, not the tokens in them.
            self._metrics.count(
                "tokens" if is_own_domain else "tokens_borrowed"
            )
        return grant

    def _admit_waiting(self, team_admission):
        now = trio.current_time()
        while team_admission.waiting and team_admission.pool.take_token(now):
            team_admission.waiting.popleft().event.set()

    def _refuse_overdue(self, team, team_admission, retry_after_s, reached):
        """Refuse requests that have waited too long.

        If the limiters answer that no token will come, all are refused.
        """
        now = trio.current_time()
        limit_s = self._settings.limits.admission_wait_s
        if not reached:
            limit_s = UNREACHABLE_LIMITER_WAIT_S
        while team_admission.waiting:
            waited_s = now - team_admission.waiting[0].arrived_at
            if waited_s < limit_s and not math.isinf(retry_after_s):
                return
            if waited_s < limit_s and not reached:
                return
            waiter = team_admission.waiting.popleft()
            waiter.error = _make_refusal(team, retry_after_s)
            if not reached:
                waiter.error = exceptions.UnavailableError(
                    f"team {team}: no limiter can be reached"
                )
            waiter.event.set()
        if reached:
            team_admission.refuse_until = now + min(
                retry_after_s, MAX_RETRY_DELAY_S
            )


def _make_refusal(team, retry_after_s):
    """Return the error for a request that gets no token.

    It also covers a full queue of waiting requests, although its text names
    the rate alone.
    """
    if math.isinf(retry_after_s) or retry_after_s <= 0:
        retry_after_s = 1.0
    return exceptions.RateLimitedError(
        f"team {team} is above its rate", retry_after_s
    )
