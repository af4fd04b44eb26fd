"""Rate limits of teams across all VMs.

The limit of a team is a token bucket at one VM, its limiter. The other
VMs request tokens from it; beside these, each VM has a small reserve of
its own, and a fallback rate for the time that a limiter is silent.
"""

import logging
import math

import trio

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.02
"""Timeout of one request to a limiter."""

LIMITER_ATTEMPTS = 2
"""Requests without an answer after which a limiter counts as silent."""

SILENT_RETRY_DELAY_S = 0.5
"""Delay before the next request to a silent limiter."""

MIN_RETRY_DELAY_S = 0.005
"""Minimum delay before the next request to a limiter that granted fewer
tokens than requested."""

MAX_RETRY_DELAY_MS = 1_000
"""Longest delay that a limiter asks for."""

DEMAND_WINDOW_S = 1.0
"""Time over which this VM averages the rate of a team's operations."""

FALLBACK_RENEW_INTERVAL_S = 0.3
"""Interval at which a team's fallback rate is renewed, used or not."""

MIN_FALLBACK_RATE_PER_S = 0.1
"""Fallback rate below which it is no longer renewed."""

FALLBACK_RATE_SCALE = 1_000
"""Messages carry fallback rates in thousandths of a token per second."""

MAX_ENCODED_RATE = 2**31 - 1
"""Largest fallback rate in a message, which has 32 bits for it."""


class _TeamState:
    """Tokens and fallback rate of one team at this VM."""

    def __init__(self, now):
        self.reserve = rates.Bucket(now)
        self.local_tokens = rates.LocalTokens()
        self.demand = rates.RateMeter(now, DEMAND_WINDOW_S)
        self.request_lock = trio.Lock()
        self.retry_at = 0.0
        self.fallback_rate = 0.0
        self.granted_at = -math.inf
        self.limiter = None
        self.fallback_bucket = rates.Bucket(now)

    def note_grant(self, grant, limiter, now):
        """Apply a limiter's answer to a request sent at clock time `now`."""
        self.limiter = limiter
        self.local_tokens.add(grant.tokens, now + rates.GRANT_LIFETIME_S)
        self.fallback_rate = grant.pledge / FALLBACK_RATE_SCALE
        self.granted_at = now
        self.fallback_bucket = rates.Bucket(now + rates.FALLBACK_DELAY_S)

    def take_fallback_token(self, now, is_registered):
        """Take a token at the fallback rate; return whether there is one.

        The rate is valid for longer if `is_registered`: the store view
        shows that the silent VM is still the limiter.
        """
        lifetime_s = (
            rates.LONG_FALLBACK_LIFETIME_S
            if is_registered
            else rates.FALLBACK_LIFETIME_S
        )
        if not rates.is_fallback_valid(self.granted_at, now, lifetime_s):
            return False
        allowance = rates.Allowance(
            self.fallback_rate, max(1.0, self.fallback_rate)
        )
        return self.fallback_bucket.take(allowance, 1, now) > 0


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
        self._limiter_buckets = {}
        self._limiters = {}
        self._limiters_version = None
        peers.handle(
            datagrams.messages.TokenRequest, self._answer_token_request
        )

    async def take(self, team):
        """Take a token for one operation of a team.

        Parameters
        ----------
        team : desired.Team
            The team and its limit.

        Returns
        -------
        bool
            Whether the operation is within the limit.
        """
        now = clock.now()
        team_state = self._get_team_state(team.name, now)
        rate = team_state.demand.note(now)
        allowance = rates.Allowance(team.rate_per_s, team.burst)
        if team_state.local_tokens.take(now):
            return True
        share = rates.RESERVED_SHARE / self._count_members(now)
        if team_state.reserve.take(allowance.scale(share), 1, now):
            return True
        if self._take_fallback_token(team.name, team_state, now):
            return True
        if now < team_state.retry_at:
            return False
        async with team_state.request_lock:
            return await self._request_tokens(team.name, team_state, rate)

    def refresh(self):
        """Apply changes of the teams and of the limiters.

        Buckets start empty, so they are created before they are needed.
        """
        state = self._node.view.state
        if state is None:
            return
        now = clock.now()
        for team, limit in state.teams.items():
            self._get_team_state(team, now)
            if self._is_limiter(team, now):
                allowance = _get_limiter_allowance(limit)
                self._get_limiter_bucket(team, now).fill(allowance, now)
            elif team in self._limiter_buckets:
                self._limiter_buckets[team].restart(now)
        for entries in (
            self._team_states,
            self._limiter_buckets,
            self._limiters,
        ):
            for team in entries.keys() - state.teams.keys():
                del entries[team]

    def _get_limiter_bucket(self, team, now):
        bucket = self._limiter_buckets.get(team)
        if bucket is None:
            bucket = self._limiter_buckets[team] = rates.LimiterBucket(now)
        return bucket

    def _get_team_state(self, team, now):
        team_state = self._team_states.get(team)
        if team_state is None:
            team_state = self._team_states[team] = _TeamState(now)
        return team_state

    async def renew_fallback_rates(self):
        """Report falling demand to limiters until no fallback rate is left.

        A limiter subtracts the fallback rate of a VM that sends nothing from
        what it grants, so a VM that no longer needs the rate must keep
        sending requests.
        """
        now = clock.now()
        for team, team_state in list(self._team_states.items()):
            is_due = (
                now - team_state.granted_at >= FALLBACK_RENEW_INTERVAL_S
                and now >= team_state.retry_at
            )
            if team_state.fallback_rate >= MIN_FALLBACK_RATE_PER_S and is_due:
                async with team_state.request_lock:
                    await self._request_grant(team, team_state, 0, now)

    async def _request_tokens(self, team, team_state, rate):
        now = clock.now()
        if team_state.local_tokens.take(now):
            return True
        if now < team_state.retry_at:
            return False
        wanted = 1 + rates.count_prefetch_tokens(rate)
        grant = await self._request_grant(team, team_state, wanted, now)
        if grant is None:
            return self._take_fallback_token(team, team_state, clock.now())
        if grant.tokens < wanted:
            pause_s = max(MIN_RETRY_DELAY_S, grant.retry_ms / 1000)
            team_state.retry_at = clock.now() + pause_s
        return team_state.local_tokens.take(clock.now())

    def _take_fallback_token(self, team, team_state, now):
        if team_state.limiter is None:
            return False
        has_recent_view = self._node.view_age.is_within(
            now, rates.MAX_REGISTRATION_AGE_S
        )
        if has_recent_view and self._find_limiter(team) != team_state.limiter:
            # The successor grants tokens by now.
            return False
        return team_state.take_fallback_token(
            now, is_registered=has_recent_view
        )

    def _find_limiter(self, team):
        """Return the member that limits a team, or None.

        Cached until the members change, since it is called often, and for
        each team.
        """
        view = self._node.view
        if view.roster.change_count != self._limiters_version:
            self._limiters_version = view.roster.change_count
            self._limiters.clear()
        if team not in self._limiters:
            self._limiters[team] = rates.find_limiter(team, view.members)
        return self._limiters[team]

    async def _request_grant(self, team, team_state, wanted, now):
        """Request tokens and record the grant.

        Returns None if the limiter is silent, or grants nothing because it
        may no longer be the limiter. It may have lost the store, so that no
        successor is known yet; the fallback rate stays as it is.
        """
        grant = await self._query_limiter(team, wanted)
        if grant is None or not grant.is_owner:
            team_state.retry_at = clock.now() + SILENT_RETRY_DELAY_S
            return None
        team_state.note_grant(grant, self._find_limiter(team), now)
        return grant

    async def _query_limiter(self, team, wanted):
        """Return the limiter's grant, None if it is silent or missing."""
        limiter = self._find_limiter(team)
        if limiter is None:
            return None
        if limiter.vm == self._node.settings.vm.name:
            return self._grant(0, team, wanted, limiter.vm)
        for _ in range(LIMITER_ATTEMPTS):
            request = datagrams.messages.TokenRequest(team=team, wanted=wanted)
            grant = await self._peers.query(request, limiter, ANSWER_TIMEOUT_S)
            if grant is not None:
                return grant
        logger.info(
            "limiter does not answer",
            extra={
                "event": "limiter_silent",
                "team": team,
                "owner": limiter.vm,
            },
        )
        return None

    async def _answer_token_request(self, message, sender):
        grant = self._grant(
            message.number, message.team, message.wanted, sender
        )
        await self._peers.send(grant, sender)

    def _grant(self, number, team, wanted, requester):
        """Return a grant, without tokens if another VM limits the team."""
        now = clock.now()
        state = self._node.view.state
        limit = state.teams.get(team) if state else None
        if limit is None or not self._is_limiter(team, now):
            return datagrams.messages.TokenGrant(
                number=number, is_owner=False, tokens=0, retry_ms=0, pledge=0
            )
        bucket = self._get_limiter_bucket(team, now)
        allowance = _get_limiter_allowance(limit)
        tokens, retry_s, fallback_rate = bucket.grant(
            requester, allowance, wanted, now
        )
        retry_ms = min(MAX_RETRY_DELAY_MS, retry_s * 1000)
        encoded_rate = min(
            MAX_ENCODED_RATE, int(fallback_rate * FALLBACK_RATE_SCALE)
        )
        return datagrams.messages.TokenGrant(
            number=number,
            is_owner=True,
            tokens=tokens,
            retry_ms=int(retry_ms),
            pledge=encoded_rate,
        )

    def _is_limiter(self, team, now):
        if not self._node.primary_resolver.is_self_registered():
            return False
        age_s = self._node.view_age.get_age(now)
        if not rates.may_grant(age_s, self._node.lease_until - now):
            return False
        limiter = self._find_limiter(team)
        return (
            limiter is not None and limiter.vm == self._node.settings.vm.name
        )

    def _count_members(self, now):
        view = self._node.view
        departed = view.roster.list_departures(now, rates.DEPARTED_RETENTION_S)
        return max(1, len(view.members) + len(departed))


def _get_limiter_allowance(team):
    """Return the part of a team's limit that its limiter grants."""
    allowance = rates.Allowance(team.rate_per_s, team.burst)
    return allowance.scale(rates.LIMITER_SHARE)
