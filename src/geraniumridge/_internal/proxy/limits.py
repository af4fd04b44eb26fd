"""Takes each operation out of its team's limit over all VMs."""

import logging
import math

import trio

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

ANSWER_S = 0.02
"""How long a limiter may take to answer before it is asked again."""

TRIES = 2
"""Questions to a limiter before it counts as silent."""

SILENT_S = 0.5
"""Pause before a silent limiter is asked again."""

MIN_RETRY_S = 0.005
"""Least pause before a limiter that had no token is asked again."""

MAX_RETRY_MS = 1_000

DEMAND_WINDOW_S = 1.0
"""Time over which this VM averages its operations of a team."""

KEEP_S = 0.3
"""Pause between draws of a team with a pledge, used or not."""

LEAST_PLEDGE = 0.1
"""Rate a second below which a pledge is let go."""

PLEDGE_UNIT = 1_000
"""Pledges travel in thousandths of a token per second."""


class _TeamState:
    """What this VM holds of one team's limit."""

    def __init__(self, now):
        self.reserve = rates.Bucket(now)
        self.stock = rates.LocalTokens()
        self.demand = rates.RateMeter(now, DEMAND_WINDOW_S)
        self.turn = trio.Lock()
        self.ask_at = 0.0
        self.pledge = 0.0
        self.granted_at = -math.inf
        self.limiter = None
        self.fallback = rates.Bucket(now)

    def note_grant(self, grant, limiter, now):
        """Take in a limiter's answer to a question of that time."""
        self.limiter = limiter
        self.stock.add(grant.tokens, now + rates.GRANT_LIFETIME_S)
        self.pledge = grant.pledge / PLEDGE_UNIT
        self.granted_at = now
        self.fallback = rates.Bucket(now + rates.FALLBACK_DELAY_S)

    def take_pledged(self, now, is_registered):
        """Take a token that the silent limiter pledged.

        `is_registered` tells that the limiter is known to be one still.
        """
        life_s = (
            rates.LONG_FALLBACK_LIFETIME_S
            if is_registered
            else rates.FALLBACK_LIFETIME_S
        )
        if not rates.is_fallback_valid(self.granted_at, now, life_s):
            return False
        allowance = rates.Allowance(self.pledge, max(1.0, self.pledge))
        return self.fallback.take(allowance, 1, now) > 0


class Limits:
    """Limits of all teams, as seen by one VM.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Way to the other VMs.
    """

    def __init__(self, node, peers):
        self._node = node
        self._peers = peers
        self._teams = {}
        self._masters = {}
        self._limiters = {}
        self._limiters_of = None
        peers.handle(datagrams.messages.Draw, self._answer_draw)

    async def take(self, team):
        """Take one operation of a team.

        Parameters
        ----------
        team : desired.Team
            The team and its limit.

        Returns
        -------
        bool
            Whether it lies within the limit.
        """
        now = clock.now()
        state = self._get_team(team.name, now)
        rate = state.demand.note(now)
        allowance = rates.Allowance(team.rate_per_s, team.burst)
        if state.stock.take(now):
            return True
        share = rates.RESERVED_SHARE / self._count_members(now)
        if state.reserve.take(allowance.scale(share), 1, now):
            return True
        if self._take_pledged(team.name, state, now):
            return True
        if now < state.ask_at:
            return False
        async with state.turn:
            return await self._draw(team.name, state, rate)

    def refresh(self):
        """Follow the teams, and which of them this VM limits.

        Buckets start empty, so they are made before they are needed.
        """
        state = self._node.view.state
        if state is None:
            return
        now = clock.now()
        for team, plan in state.teams.items():
            self._get_team(team, now)
            if not self._is_limiter(team, now):
                self._masters.pop(team, None)
                continue
            if team not in self._masters:
                self._masters[team] = rates.LimiterBucket(now)
            self._masters[team].fill(_get_drawn(plan), now)
        for known in (self._teams, self._masters, self._limiters):
            for team in known.keys() - state.teams.keys():
                del known[team]

    def _get_team(self, team, now):
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _TeamState(now)
        return state

    async def keep_pledges(self):
        """Tell limiters that a team is used less, until nothing is left.

        A limiter leaves the rate that it pledged to a VM that is
        silent, so a VM without use for it must not be.
        """
        now = clock.now()
        for team, state in list(self._teams.items()):
            is_due = now - state.granted_at >= KEEP_S and now >= state.ask_at
            if state.pledge >= LEAST_PLEDGE and is_due:
                async with state.turn:
                    await self._request(team, state, 0, now)

    async def _draw(self, team, state, rate):
        now = clock.now()
        if state.stock.take(now):
            return True
        if now < state.ask_at:
            return False
        wanted = 1 + rates.count_prefetch_tokens(rate)
        grant = await self._request(team, state, wanted, now)
        if grant is None:
            return self._take_pledged(team, state, clock.now())
        if not grant.is_owner:
            state.ask_at = clock.now() + SILENT_S
            return False
        if grant.tokens < wanted:
            pause_s = max(MIN_RETRY_S, grant.retry_ms / 1000)
            state.ask_at = clock.now() + pause_s
        return state.stock.take(clock.now())

    def _take_pledged(self, team, state, now):
        if state.limiter is None:
            return False
        is_registered = self._node.freshness.is_within(
            now, rates.MAX_REGISTRATION_AGE_S
        ) and (self._find_limiter(team) == state.limiter)
        return state.take_pledged(now, is_registered)

    def _find_limiter(self, team):
        """Return the member that limits a team, or None.

        Looked up often and by each team, so kept while the members
        stay the same.
        """
        view = self._node.view
        if view.roster.change_count != self._limiters_of:
            self._limiters_of = view.roster.change_count
            self._limiters.clear()
        if team not in self._limiters:
            self._limiters[team] = rates.find_limiter(team, view.members)
        return self._limiters[team]

    async def _request(self, team, state, wanted, now):
        """Ask the limiter and note its grant, or that it is silent."""
        grant = await self._ask(team, wanted)
        if grant is None:
            state.ask_at = clock.now() + SILENT_S
        else:
            state.note_grant(grant, self._find_limiter(team), now)
        return grant

    async def _ask(self, team, wanted):
        """Return the limiter's grant, None if it is silent or none."""
        owner = self._find_limiter(team)
        if owner is None:
            return None
        if owner.vm == self._node.settings.vm.name:
            return self._grant(0, team, wanted, owner.vm)
        for _ in range(TRIES):
            draw = datagrams.messages.Draw(team=team, wanted=wanted)
            grant = await self._peers.ask(draw, owner, ANSWER_S)
            if grant is not None:
                return grant
        logger.info(
            "limiter silent",
            extra={"event": "limiter_silent", "team": team, "owner": owner.vm},
        )
        return None

    async def _answer_draw(self, message, sender):
        grant = self._grant(
            message.number, message.team, message.wanted, sender
        )
        await self._peers.send(grant, sender)

    def _grant(self, number, team, wanted, drawer):
        """Hand out tokens if this VM limits the team."""
        now = clock.now()
        plan = self._node.view.state
        found = plan.teams.get(team) if plan else None
        if found is None or not self._is_limiter(team, now):
            return datagrams.messages.Grant(
                number=number, is_owner=False, tokens=0, retry_ms=0, pledge=0
            )
        master = self._masters.get(team)
        if master is None:
            master = self._masters[team] = rates.LimiterBucket(now)
        allowance = _get_drawn(found)
        tokens, retry_s, pledge = master.grant(drawer, allowance, wanted, now)
        retry_ms = min(MAX_RETRY_MS, retry_s * 1000)
        return datagrams.messages.Grant(
            number=number,
            is_owner=True,
            tokens=tokens,
            retry_ms=int(retry_ms),
            pledge=int(pledge * PLEDGE_UNIT),
        )

    def _is_limiter(self, team, now):
        if not self._node.primacy.is_self_registered():
            return False
        age_s = self._node.freshness.get_age(now)
        if not rates.may_grant(age_s, self._node.lease_until - now):
            return False
        owner = self._find_limiter(team)
        return owner is not None and owner.vm == self._node.settings.vm.name

    def _count_members(self, now):
        view = self._node.view
        departed = view.roster.list_departures(now, rates.DEPARTED_RETENTION_S)
        return max(1, len(view.members) + len(departed))


def _get_drawn(team):
    """Return the part of a team's limit that is drawn."""
    allowance = rates.Allowance(team.rate_per_s, team.burst)
    return allowance.scale(rates.LIMITER_SHARE)
