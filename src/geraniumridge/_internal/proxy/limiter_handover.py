"""Handover of a team from one limiter to the next.

Load pattern: a VM joins while the store does not answer the limiter of a
team. The newcomer ranks before the limiter, which does not know that yet and
would go on granting the team's whole rate beside it. A VM that becomes a
limiter therefore asks those that may still take themselves for it to stop.
"""

import logging

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.25
"""Timeout of a request within one region."""

MAX_ANSWER_TIMEOUT_S = 0.5
"""Longest timeout of a request to another region."""

MAX_FALLBACKS = 100
"""Most domains whose fallback rates are taken over."""

FALLBACK_RATE_SCALE = 1_000
"""Messages carry fallback rates in thousandths of a token per second."""

MAX_ENCODED_RATE = 2**31 - 1
"""Largest fallback rate in a message, which has 32 bits for it."""


def encode_rate(rate):
    """Return a rate in tokens per second as in messages."""
    return min(MAX_ENCODED_RATE, int(rate * FALLBACK_RATE_SCALE))


class LimiterHandover:
    """Teams that this VM takes over, and those that it has handed over.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    directory : proxy.limit_directory.LimitDirectory
        Finds the limiter of a team.
    get_bucket : callable
        Returns the `rates.LimiterBucket` of a team and a clock time.
    """

    def __init__(self, node, peers, directory, get_bucket):
        self._node = node
        self._peers = peers
        self._directory = directory
        self._get_bucket = get_bucket
        self._limited = frozenset()
        self._takeovers = {}
        self._asking = set()
        self._successors = {}
        peers.handle(datagrams.messages.HandoverRequest, self._answer_request)

    def refresh(self, limited, now):
        """Begin and end takeovers.

        Parameters
        ----------
        limited : frozenset of str
            The teams that this VM limits by its store view.
        now : float
            Clock time, in seconds.
        """
        for team in self._limited - limited:
            self._takeovers.pop(team, None)
        for team in limited - self._limited:
            self._begin(team, now)
        self._limited = limited
        for team, takeover in list(self._takeovers.items()):
            if takeover.is_done(now):
                del self._takeovers[team]
        for team, vm in list(self._successors.items()):
            if team not in limited or vm not in self._node.view.members:
                del self._successors[team]

    def may_grant(self, team, now):
        """Return whether no other VM grants tokens of a team.

        Parameters
        ----------
        team : str
            A team that this VM limits by its store view.
        now : float
            Clock time, in seconds.
        """
        if team in self._successors:
            return False
        if team not in self._limited:
            self._limited |= {team}
            self._begin(team, now)
        takeover = self._takeovers.get(team)
        return takeover is None or takeover.is_done(now)

    def is_pending(self, team):
        """Return whether a team is being taken over or handed over."""
        return team in self._successors or team in self._takeovers

    def start_due_requests(self, nursery):
        """Ask the predecessors in tasks of a nursery; called periodically."""
        for team, takeover in self._takeovers.items():
            for vm in takeover.predecessors:
                member = self._node.view.members.get(vm)
                if member is not None and (team, vm) not in self._asking:
                    self._asking.add((team, vm))
                    nursery.start_soon(self._ask, team, takeover, member)

    def _begin(self, team, now):
        predecessors = self._directory.list_predecessors(team)
        if not predecessors:
            return
        self._takeovers[team] = limit_holders.Takeover(predecessors, now)
        logger.info(
            "taking over the limit of a team",
            extra={
                "event": "limit_takeover",
                "team": team,
                "from": sorted(predecessors),
            },
        )

    async def _ask(self, team, takeover, member):
        request = datagrams.messages.HandoverRequest(
            team=team, vm=self._node.settings.vm.name
        )
        try:
            answer = await self._peers.query(
                request, member, ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S
            )
        finally:
            self._asking.discard((team, member.vm))
        if answer is None or not answer.is_stopped:
            return
        now = clock.now()
        bucket = self._get_bucket(team, now)
        for item in answer.fallbacks[:MAX_FALLBACKS]:
            if item.domain and item.rate:
                rate = max(0, item.rate) / FALLBACK_RATE_SCALE
                bucket.adopt_fallback_rate(item.domain, rate, now)
        takeover.note_stopped(member.vm)

    async def _answer_request(self, request, sender):
        answer = datagrams.messages.HandoverAnswer(
            number=request.number,
            is_stopped=self._hand_over(request.team, request.vm),
            fallbacks=self._list_fallbacks(request.team),
        )
        await self._peers.send(answer, sender)

    def _list_fallbacks(self, team):
        """Return the fallback rates of a team that this VM hands over."""
        if team not in self._successors:
            return []
        now = clock.now()
        found = self._get_bucket(team, now).list_fallback_rates(now)
        return [
            datagrams.messages.DomainFallback(
                domain=domain, rate=encode_rate(rate)
            )
            for domain, rate in found.items()
        ]

    def _hand_over(self, team, successor):
        """Stop granting tokens of a team; return whether this VM has."""
        state = self._node.view.state
        if state is None or team not in state.teams:
            # Nothing is kept of whatever name a datagram has.
            return True
        limiter = self._directory.find(team).limiter
        if not self._directory.is_self(limiter):
            return True
        key = limit_holders.make_limiter_key(team)
        own = self._node.settings.vm.name
        is_first = rendezvous.choose_node(key, [own, successor]) == successor
        if not is_first or successor not in self._node.view.members:
            return False
        if self._successors.get(team) != successor:
            self._successors[team] = successor
            logger.info(
                "handed over the limit of a team",
                extra={
                    "event": "limit_handed_over",
                    "team": team,
                    "to": successor,
                    "view_age_s": round(
                        self._node.view_age.get_age(clock.now()), 3
                    ),
                },
            )
        return True
