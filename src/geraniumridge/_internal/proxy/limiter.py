"""The teams that this VM limits, and their answers to other VMs."""

import logging

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import limiter_handover
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

MAX_RETRY_DELAY_MS = 1_000
"""Longest delay that a limiter asks for."""


HANDOVER_RETRY_DELAY_S = 0.05
"""Delay before the next request to a VM that is handing a team over or taking
it over; a handover takes about a round trip."""


class Limiter:
    """Token buckets of the teams that this VM limits.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    directory : proxy.limit_directory.LimitDirectory
        Finds the limiter of a team.
    """

    def __init__(self, node, peers, directory):
        self._node = node
        self._peers = peers
        self._directory = directory
        self._handover = limiter_handover.LimiterHandover(
            node, peers, directory, self._get_bucket
        )
        self._buckets = {}
        self._limited = frozenset()
        messages = datagrams.messages
        peers.handle(messages.TokenRequest, self._answer_token_request)
        peers.handle(messages.FallbackRenewalRequest, self._answer_renewal)

    def refresh(self, teams, now):
        """Fill the buckets of the teams that this VM limits.

        Buckets start nearly empty, so they are created before they are
        needed.
        """
        for team in self._buckets.keys() - teams.keys():
            del self._buckets[team]
        limited = self._directory.find_own_teams(teams).limited
        self._handover.refresh(limited, now)
        if not self._directory.may_grant(now):
            limited = frozenset()
        limited = frozenset(
            team for team in limited if self._handover.may_grant(team, now)
        )
        for team in self._buckets.keys() & (self._limited - limited):
            self._buckets[team].suspend()
        self._limited = limited
        for team in limited:
            bucket = self._get_bucket(team, now)
            bucket.fill(_get_allowance(teams[team]), now)

    def start_due_handovers(self, nursery):
        """Ask former limiters to stop, in tasks of a nursery."""
        self._handover.start_due_requests(nursery)

    def grant(self, number, team, wanted, domain):
        """Return the grant for a VM of a domain.

        It has no tokens if another VM limits the team, or may still do so.
        """
        now = clock.now()
        limit = self._find_limit(team, now)
        if limit is None and self._is_in_handover(team):
            return make_grant(number, retry_s=HANDOVER_RETRY_DELAY_S)
        if limit is None:
            return make_grant(number, is_owner=False)
        bucket = self._get_bucket(team, now)
        tokens, retry_s = bucket.grant(
            domain, _get_allowance(limit), wanted, now
        )
        return make_grant(number, tokens=tokens, retry_s=retry_s)

    def renew_fallback(self, team, domain, renewal):
        """Return a domain's fallback rate, None if another VM limits it."""
        now = clock.now()
        limit = self._find_limit(team, now)
        if limit is None:
            return None
        bucket = self._get_bucket(team, now)
        return bucket.renew_fallback(
            domain, renewal, _get_allowance(limit), now
        )

    async def _answer_token_request(self, message, sender):
        domain = self._check_domain(message.domain)
        grant = self.grant(
            message.number, message.team, message.wanted, domain or ""
        )
        await self._peers.send(grant, sender)

    async def _answer_renewal(self, message, sender):
        renewal = rates.FallbackRenewal(
            message.rate / limiter_handover.FALLBACK_RATE_SCALE,
            message.is_in_use,
        )
        rate = None
        if self._check_domain(message.domain) is not None:
            rate = self.renew_fallback(message.team, message.domain, renewal)
        answer = datagrams.messages.FallbackGrant(
            number=message.number,
            is_owner=rate is not None,
            rate=limiter_handover.encode_rate(rate or 0.0),
        )
        await self._peers.send(answer, sender)

    def _check_domain(self, domain):
        """Return a failure domain, None if it is unknown.

        A bucket keeps an entry for each domain, so it must not get one for
        whatever name a datagram has.
        """
        node = self._node
        if domain in node.settings.regions or any(
            member.domain == domain for member in node.view.members.values()
        ):
            return domain
        if domain:
            # Senders without a domain are of a version that has no field.
            node.metrics.count("datagrams_ignored:domain")
        return None

    def _find_limit(self, team, now):
        """Return the team's limit if this VM may grant tokens of it."""
        state = self._node.view.state
        limit = state.teams.get(team) if state else None
        if limit is None or not self._is_limiter(team):
            return None
        may_grant = self._directory.may_grant(
            now
        ) and self._handover.may_grant(team, now)
        return limit if may_grant else None

    def _is_in_handover(self, team):
        """Return whether one limiter of a team is about to follow another.

        VMs that ask soon have a limiter again, so this one is not silent.
        """
        state = self._node.view.state
        if state is None or team not in state.teams:
            return False
        return self._is_limiter(team) and self._handover.is_pending(team)

    def _is_limiter(self, team):
        return self._directory.is_self(self._directory.find(team).limiter)

    def _get_bucket(self, team, now):
        bucket = self._buckets.get(team)
        if bucket is None:
            slack = self._node.settings.bounds.limit_slack
            start_tokens = rates.get_start_tokens(slack)
            bucket = rates.LimiterBucket(now, start_tokens)
            self._buckets[team] = bucket
        return bucket


def make_grant(number, is_owner=True, tokens=0, retry_s=0.0):
    """Return the message that grants tokens."""
    return datagrams.messages.TokenGrant(
        number=number,
        is_owner=is_owner,
        tokens=tokens,
        retry_ms=int(min(MAX_RETRY_DELAY_MS, retry_s * 1000)),
        pledge=0,
    )


def _get_allowance(limit):
    """Return the part of a team's limit that its limiter grants."""
    allowance = token_bucket.Allowance(limit.rate_per_s, limit.burst)
    return allowance.scale(rates.LIMITER_SHARE)
