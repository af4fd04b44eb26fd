"""Tokens that this VM grants in its domain while a limiter is silent."""

from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import limiter
from geraniumridge._internal.proxy import limiter_handover
from geraniumridge._internal.utils import clock

ANSWER_TIMEOUT_S = 0.05
"""Timeout of a renewal within one region; the limiter may be in another
domain."""

MAX_ANSWER_TIMEOUT_S = rates.FAST_FALLBACK_DELAY_S / rates.RENEWALS_PER_DELAY
"""Longest timeout of a renewal with a limiter in another region. Answers that
took longer would arrive after the fallback rate has begun to apply, and the
limiter would not know that it is in use."""


class Standby:
    """Standby of the teams that fall to this VM in its domain.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    directory : proxy.limit_directory.LimitDirectory
        Finds the limiter and the standby of a team.
    own_limiter : proxy.limiter.Limiter
        The teams that this VM limits itself.
    """

    def __init__(self, node, peers, directory, own_limiter):
        self._node = node
        self._peers = peers
        self._directory = directory
        self._own_limiter = own_limiter
        self._buckets = {}
        self._renewing = set()
        peers.handle(datagrams.messages.StandbyRequest, self._answer_request)

    def refresh(self, teams, now):
        """Fill the reserves of the teams whose standby this VM is."""
        own_teams = self._directory.find_own_teams(teams).stood_by
        if not self._directory.may_grant(now):
            own_teams = frozenset()
        for team in self._buckets.keys() - own_teams:
            del self._buckets[team]
        for team in own_teams:
            reserve = self._get_reserve(teams[team])
            self._get_bucket(team, now).fill(reserve, now)

    def start_due_renewals(self, nursery, now):
        """Renew the fallback rates that are due, in tasks of a nursery.

        A team has one renewal at a time: with two, the older answer could be
        the last to arrive, and this VM would hold a higher rate than the
        limiter subtracts.
        """
        has_recent_view = self._directory.has_recent_view()
        for team, bucket in self._buckets.items():
            member = self._directory.find(team).limiter
            if member is None or team in self._renewing:
                continue
            renewal = bucket.make_due_renewal(member, has_recent_view, now)
            if renewal is not None:
                self._renewing.add(team)
                nursery.start_soon(self._renew, team, bucket, member, renewal)

    def grant(self, number, team, wanted):
        """Return the grant for a VM of the domain."""
        now = clock.now()
        state = self._node.view.state
        limit = state.teams.get(team) if state else None
        may_grant = (
            limit is not None
            and self._is_standby(team)
            and self._directory.may_grant(now)
        )
        if not may_grant:
            return limiter.make_grant(number, is_owner=False)
        tokens = self._get_bucket(team, now).take(
            self._get_reserve(limit),
            wanted,
            self._directory.find(team).limiter,
            self._directory.has_recent_view(),
            now,
        )
        return limiter.make_grant(number, tokens=tokens)

    async def _renew(self, team, bucket, member, renewal):
        try:
            await self._request_renewal(team, bucket, member, renewal)
        finally:
            self._renewing.discard(team)

    async def _request_renewal(self, team, bucket, member, renewal):
        sent_at = clock.now()
        domain = self._node.settings.vm.domain
        if self._directory.is_self(member):
            rate = self._own_limiter.renew_fallback(team, domain, renewal)
            if rate is not None:
                bucket.note_renewal(rate, member, sent_at)
            return
        request = datagrams.messages.FallbackRenewalRequest(
            team=team,
            domain=domain,
            rate=limiter_handover.encode_rate(renewal.rate),
            is_in_use=renewal.is_in_use,
        )
        answer = await self._peers.query(
            request, member, ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S
        )
        if answer is not None and answer.is_owner:
            rate = max(0.0, answer.rate / limiter_handover.FALLBACK_RATE_SCALE)
            bucket.note_renewal(rate, member, sent_at)

    async def _answer_request(self, message, sender):
        grant = self.grant(message.number, message.team, message.wanted)
        await self._peers.send(grant, sender)

    def _is_standby(self, team):
        return self._directory.is_self(self._directory.find(team).standby)

    def _get_bucket(self, team, now):
        bucket = self._buckets.get(team)
        if bucket is None:
            start_tokens = rates.get_start_tokens(
                self._node.settings.bounds.limit_slack, self._count_domains()
            )
            bucket = rates.StandbyBucket(now, start_tokens)
            self._buckets[team] = bucket
        return bucket

    def _get_reserve(self, limit):
        """Return this domain's reserve of a limit."""
        return rates.make_reserve(
            token_bucket.Allowance(limit.rate_per_s, limit.burst),
            self._node.settings.bounds.limit_slack,
            self._count_domains(),
        )

    def _count_domains(self):
        settings = self._node.settings
        return len({settings.vm.domain, *settings.regions})
