"""Rate limits of teams across all VMs, as one VM applies them.

An operation takes a token that the team's limiter has granted to this VM. If
the limiter has none, or is silent, the team's standby in the domain is asked.

Requests to a limiter in another region run in tasks of their own, ahead of
need where that is worth it, and their answers count whenever they arrive.
"""

import functools
import logging
import math

import trio

from geraniumridge._internal.decisions.distance import prefetch
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import limit_directory
from geraniumridge._internal.proxy import limiter
from geraniumridge._internal.proxy import standby
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.02
"""Timeout of one request to a limiter or standby within one region."""

MAX_ANSWER_TIMEOUT_S = token_bucket.GRANT_LIFETIME_S / 2
"""Longest timeout of one request to a limiter in another region; tokens of a
later answer would expire soon."""

LIMITER_ATTEMPTS = 2
"""Requests without an answer after which a limiter counts as silent."""

SILENT_RETRY_DELAY_S = 0.5
"""Delay before the next request to a silent limiter."""

MIN_RETRY_DELAY_S = 0.005
"""Minimum delay before the next request to a limiter that granted fewer
tokens than requested."""

STANDBY_RETRY_DELAY_S = 0.05
"""Delay before the next request to a standby that had no token."""

MAX_WAITING = 4
"""Operations of one team that wait for a token at the same time."""

MAX_REQUESTS = 8
"""Requests of one team to a limiter in another region at the same time."""

DEMAND_WINDOW_S = 1.0
"""Time over which this VM averages the rate of a team's operations."""


class _TeamState:
    """Tokens of one team at this VM, and when it may request more.

    The last five attributes concern a limiter in another region: `requests`
    without an answer and the tokens that they ask for, operations that wait
    for a token, whether the last answer was in full, and whether the limiter
    counts as silent.
    """

    def __init__(self, now):
        self.local_tokens = token_bucket.LocalTokens()
        self.demand = token_bucket.RateMeter(now, DEMAND_WINDOW_S)
        self.request_lock = trio.Lock()
        self.limiter_retry_at = 0.0
        self.standby_retry_at = 0.0
        self.waiting = 0
        self.requests = 0
        self.requested = 0
        self.awaiting = 0
        self.has_spare = False
        self.is_limiter_silent = False
        self._changed = trio.Event()

    @property
    def expects_answer(self):
        """Whether an answer of the limiter is likely to arrive."""
        return self.requests > 0 and not self.is_limiter_silent

    def note_change(self):
        """Wake the operations that wait for an answer."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_change(self, until):
        """Wait for an answer until a clock time, in seconds."""
        with trio.move_on_after(max(0.0, until - clock.now())):
            await self._changed.wait()

    @property
    def retry_at(self):
        """Clock time from which the limiter or the standby may be asked."""
        return min(self.limiter_retry_at, self.standby_retry_at)


class Limits:
    """Rate limits of all teams at one VM.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    """

    def __init__(self, node, peers):
        self._node = node
        self._peers = peers
        self._team_states = {}
        self._state_version = None
        self._nursery = None
        self._directory = limit_directory.LimitDirectory(node)
        self._limiter = limiter.Limiter(node, peers, self._directory)
        self._standby = standby.Standby(
            node, peers, self._directory, self._limiter
        )

    def start(self, nursery):
        """Allow requests to limiters in other regions in a nursery."""
        self._nursery = nursery

    async def take(self, team, wait_s=0.0, answer_wait_s=0.0):
        """Take a token for one operation of a team.

        Load pattern: operations of a team within its limit do not arrive
        evenly. One that finds no token waits if there may be one in time, and
        is refused at once if not, or if several wait already.

        Parameters
        ----------
        team : desired.Team
            The team and its limit.
        wait_s : float, optional
            Longest time to wait for a token, in seconds.
        answer_wait_s : float, optional
            Longest time to wait for the answer of a limiter in another
            region, in seconds.

        Returns
        -------
        bool
            Whether the operation is within the limit.
        """
        now = clock.now()
        deadline = now + wait_s
        team_state = self._get_team_state(team.name, now)
        rate = team_state.demand.note(now)
        distant = self._find_distant_limiter(team.name)
        if distant is not None:
            answer_deadline = max(deadline, now + answer_wait_s)
            return await self._take_distant(
                team.name, team_state, distant, deadline, answer_deadline
            )
        while not await self._try_take(team.name, team_state, rate):
            retry_at = team_state.retry_at
            if retry_at > deadline or team_state.waiting >= MAX_WAITING:
                return False
            await _wait_until(team_state, retry_at)
            if clock.now() > deadline:
                return False
        return True

    async def _take_distant(
        self, team, team_state, limiter_member, deadline, answer_deadline
    ):
        """Take a token of a team whose limiter is in another region.

        Operations wait for the limiter as long as it usually takes, and then
        ask the standby. Its answer counts until `answer_deadline`.
        """
        now = clock.now()
        usual_s = self._node.distances.get_timeout_s(
            limiter_member.vm, ANSWER_TIMEOUT_S, answer_deadline - now
        )
        usual_until = min(answer_deadline, now + usual_s)
        team_state.awaiting += 1
        try:
            while not team_state.local_tokens.take(now):
                self._start_due_request(team, team_state, limiter_member, now)
                if team_state.expects_answer and now < usual_until:
                    await team_state.wait_change(usual_until)
                    now = clock.now()
                    continue
                if await self._take_of_standby(team, team_state):
                    return True
                now = clock.now()
                if team_state.expects_answer and now < answer_deadline:
                    retry_at = max(now, team_state.standby_retry_at)
                    await team_state.wait_change(
                        min(answer_deadline, retry_at)
                    )
                    now = clock.now()
                    continue
                retry_at = team_state.retry_at
                if retry_at > deadline or team_state.waiting >= MAX_WAITING:
                    return False
                await _wait_until(team_state, retry_at)
                now = clock.now()
                if now > deadline:
                    return False
            return True
        finally:
            team_state.awaiting -= 1
            self._start_due_request(
                team, team_state, limiter_member, clock.now()
            )

    def _find_distant_limiter(self, team):
        """Return a team's limiter if it is in another region, else None."""
        if self._nursery is None:
            return None
        member = self._directory.find(team).limiter
        if member is None:
            return None
        is_distant = self._node.distances.is_distant(member.domain)
        return member if is_distant else None

    def _start_due_request(self, team, team_state, limiter_member, now):
        """Request tokens of a limiter in another region if they are due.

        A silent one gets a single request at a time, for operations that
        wait.
        """
        max_requests = 1 if team_state.is_limiter_silent else MAX_REQUESTS
        if team_state.requests >= max_requests:
            return
        if now < team_state.limiter_retry_at:
            return
        wanted = prefetch.count_tokens_to_request(
            prefetch.Stock(
                team_state.local_tokens.count(now),
                team_state.requested,
                team_state.awaiting,
            ),
            team_state.demand.note(now, 0),
            self._node.distances.get_vm_round_trip_s(limiter_member.vm),
            team_state.has_spare,
        )
        if wanted:
            team_state.requests += 1
            team_state.requested += wanted
            self._nursery.start_soon(
                self._request_of_distant, team, team_state, wanted
            )

    async def _request_of_distant(self, team, team_state, wanted):
        requested_at = clock.now()
        try:
            grant = await self._request_of_limiter(team, team_state, wanted)
            team_state.is_limiter_silent = grant is None
            team_state.has_spare = grant is not None and grant.tokens >= wanted
            _apply_limiter_grant(team_state, grant, wanted, requested_at)
        finally:
            team_state.requests -= 1
            team_state.requested -= wanted
            team_state.note_change()

    async def _take_of_standby(self, team, team_state):
        """Ask the standby for one token if it is due; return whether it had.

        One operation asks at a time, as the others may use what it gets.
        """
        async with team_state.request_lock:
            now = clock.now()
            if team_state.local_tokens.take(now):
                return True
            if now < team_state.standby_retry_at:
                return False
            grant = await self._request_of_standby(team, team_state, 1)
            _apply_standby_grant(team_state, grant, now)
            return team_state.local_tokens.take(clock.now())

    async def _try_take(self, team, team_state, rate):
        now = clock.now()
        if team_state.local_tokens.take(now):
            return True
        if now < team_state.retry_at:
            return False
        async with team_state.request_lock:
            return await self._request_tokens(team, team_state, rate)

    def refresh(self):
        """Apply changes of the teams and of the members; fill buckets."""
        state = self._node.view.state
        if state is None:
            return
        now = clock.now()
        if state.version != self._state_version:
            self._state_version = state.version
            self._directory.retain(state.teams.keys())
            for team in self._team_states.keys() - state.teams.keys():
                del self._team_states[team]
        self._limiter.refresh(state.teams, now)
        self._standby.refresh(state.teams, now)

    def start_due_renewals(self, nursery):
        """Renew fallback rates as a standby, and take over as a limiter.

        Called periodically; the renewals run in tasks of the nursery.
        """
        self._standby.start_due_renewals(nursery, clock.now())
        self._limiter.start_due_handovers(nursery)

    def _get_team_state(self, team, now):
        team_state = self._team_states.get(team)
        if team_state is None:
            team_state = self._team_states[team] = _TeamState(now)
        return team_state

    async def _request_tokens(self, team, team_state, rate):
        now = clock.now()
        if team_state.local_tokens.take(now):
            return True
        wanted = 1 + token_bucket.count_prefetch_tokens(rate)
        if now >= team_state.limiter_retry_at:
            grant = await self._request_of_limiter(team, team_state, wanted)
            _apply_limiter_grant(team_state, grant, wanted, now)
            if team_state.local_tokens.take(clock.now()):
                return True
        if clock.now() >= team_state.standby_retry_at:
            grant = await self._request_of_standby(team, team_state, wanted)
            _apply_standby_grant(team_state, grant, now)
        return team_state.local_tokens.take(clock.now())

    async def _request_of_limiter(self, team, team_state, wanted):
        """Return the limiter's grant, None if it is silent or missing.

        A VM that may no longer be the limiter grants nothing either. It may
        have lost the store, so that no successor is known yet.
        """
        member = self._directory.find(team).limiter
        if member is None:
            return None
        domain = self._node.settings.vm.domain
        if self._directory.is_self(member):
            grant = self._limiter.grant(0, team, wanted, domain)
            return grant if grant.is_owner else None
        for _ in range(LIMITER_ATTEMPTS):
            request = datagrams.messages.TokenRequest(
                team=team, wanted=wanted, domain=domain
            )
            grant = await self._peers.query(
                request,
                member,
                ANSWER_TIMEOUT_S,
                MAX_ANSWER_TIMEOUT_S,
                functools.partial(
                    _add_late_tokens, team_state, clock.now(), is_limiter=True
                ),
            )
            if grant is not None:
                return grant if grant.is_owner else None
        logger.info(
            "limiter does not answer",
            extra={
                "event": "limiter_silent",
                "team": team,
                "owner": member.vm,
            },
        )
        return None

    async def _request_of_standby(self, team, team_state, wanted):
        """Return the standby's grant, None if it is silent or missing."""
        member = self._directory.find(team).standby
        if member is None:
            return None
        if self._directory.is_self(member):
            return self._standby.grant(0, team, wanted)
        request = datagrams.messages.StandbyRequest(team=team, wanted=wanted)
        return await self._peers.query(
            request,
            member,
            ANSWER_TIMEOUT_S,
            on_late=functools.partial(
                _add_late_tokens, team_state, clock.now()
            ),
        )


async def _wait_until(team_state, retry_at):
    """Wait until a clock time from which a token may be requested."""
    team_state.waiting += 1
    try:
        pause_s = retry_at - clock.now()
        await trio.sleep(max(MIN_RETRY_DELAY_S, pause_s))
    finally:
        team_state.waiting -= 1


def _apply_limiter_grant(team_state, grant, wanted, requested_at):
    """Add the tokens of a limiter's grant, None if there was no answer."""
    if grant is None:
        team_state.limiter_retry_at = clock.now() + SILENT_RETRY_DELAY_S
        return
    _add_tokens(team_state, grant, requested_at)
    if grant.tokens < wanted:
        pause_s = max(MIN_RETRY_DELAY_S, grant.retry_ms / 1000)
        team_state.limiter_retry_at = clock.now() + pause_s


def _apply_standby_grant(team_state, grant, requested_at):
    if grant is not None:
        _add_tokens(team_state, grant, requested_at)
    if grant is None or grant.tokens <= 0:
        team_state.standby_retry_at = clock.now() + STANDBY_RETRY_DELAY_S


def _add_late_tokens(team_state, requested_at, grant, is_limiter=False):
    """Add the tokens of an answer that came after the request timed out.

    The limiter has taken them from the team's limit, and they expire as
    those of an answer in time. A limiter in another region that answers at
    all may be asked again at once, as its round trip is known now.
    """
    _add_tokens(team_state, grant, requested_at)
    if is_limiter and team_state.is_limiter_silent:
        team_state.is_limiter_silent = False
        team_state.limiter_retry_at = -math.inf
    team_state.note_change()


def _add_tokens(team_state, grant, requested_at):
    expires_at = requested_at + token_bucket.GRANT_LIFETIME_S
    team_state.local_tokens.add(grant.tokens, expires_at)
