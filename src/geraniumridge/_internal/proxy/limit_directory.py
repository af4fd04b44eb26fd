"""The VMs that limit a team, by the store view."""

import typing

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal.models import fleet
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous


class TeamHolders(typing.NamedTuple):
    """The limiter of a team, and its standby in this VM's domain.

    Each is None if there is no candidate.
    """

    limiter: fleet.Member | None
    standby: fleet.Member | None


class OwnTeams(typing.NamedTuple):
    """Names of the teams that this VM limits, and that it stands by for."""

    limited: frozenset[str]
    stood_by: frozenset[str]


class LimitDirectory:
    """Limiters and standbys of all teams, cached until the members change.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node
        self._limiters = rendezvous.OwnerIndex()
        self._history = limit_holders.CandidateHistory()
        self._standbys = rendezvous.OwnerIndex()
        self._holders = {}
        self._version = None
        self._own_teams = None

    def find(self, team):
        """Return the `TeamHolders` of a team."""
        self._update()
        found = self._holders.get(team)
        if found is None:
            found = self._holders[team] = self._find_holders(team)
        return found

    def find_own_teams(self, teams):
        """Return the `OwnTeams` among some teams.

        It is kept until the members change, or `retain` is called.
        """
        self._update()
        if self._own_teams is None:
            self._own_teams = OwnTeams(
                frozenset(filter(self._is_limiter, teams)),
                frozenset(filter(self._is_standby, teams)),
            )
        return self._own_teams

    def _is_limiter(self, team):
        """Return whether this VM limits a team.

        It need not find out who else does: one VM that precedes it is enough.
        """
        own = self._node.settings.vm.name
        if own not in self._limiters.nodes:
            return False
        key = limit_holders.make_limiter_key(team)
        return not self._limiters.list_preceding(key, own)

    def _is_standby(self, team):
        """Return whether this VM is the standby of a team.

        At most one VM may precede it, and only the limiter.
        """
        own = self._node.settings.vm.name
        if own not in self._standbys.nodes:
            return False
        key = limit_holders.make_standby_key(team)
        if len(self._standbys.list_preceding(key, own)) > 1:
            return False
        return self.is_self(self.find(team).standby)

    def retain(self, teams):
        """Forget all other teams than these."""
        self._limiters.retain(
            {limit_holders.make_limiter_key(team) for team in teams}
        )
        self._standbys.retain(
            {limit_holders.make_standby_key(team) for team in teams}
        )
        self._holders.clear()
        self._own_teams = None

    def _update(self):
        """Apply changes of the members since the last call."""
        view = self._node.view
        if view.roster.change_count == self._version:
            return
        self._version = view.roster.change_count
        members = view.members
        self._holders.clear()
        self._own_teams = None
        candidates = limit_holders.list_candidates(members.values())
        self._limiters.update(candidates)
        settled = (item.vm for item in members.values() if item.is_settled)
        self._history.note(clock.now(), candidates, settled)
        domain = self._node.settings.vm.domain
        self._standbys.update(
            limit_holders.list_candidates(
                member
                for member in members.values()
                if member.domain == domain
            )
        )

    def _find_holders(self, team):
        members = self._node.view.members
        limiter = members.get(
            self._limiters.find(limit_holders.make_limiter_key(team))
        )
        standby = members.get(
            self._standbys.find(limit_holders.make_standby_key(team))
        )
        if standby is not None and standby == limiter:
            domain = self._node.settings.vm.domain
            standby = limit_holders.find_standby(
                team, domain, limiter, members
            )
        return TeamHolders(limiter, standby)

    def list_predecessors(self, team):
        """Return the VMs that may take themselves for a team's limiter.

        One that has left cannot, as its lease has ended, unless the store
        lost its registration in a restore.
        """
        self._update()
        now = clock.now()
        found = self._history.list_predecessors(
            limit_holders.make_limiter_key(team),
            self._node.settings.vm.name,
            now,
        )
        view = self._node.view
        if view.era_began_at is not None:
            if now - view.era_began_at < limit_holders.STABLE_AFTER_S:
                return found
        return found & view.members.keys()

    def is_self(self, member):
        """Return whether a member is this VM."""
        return member is not None and member.vm == self._node.settings.vm.name

    def may_grant(self, now):
        """Return whether this VM may grant tokens.

        It must be registered, and no successor may have begun.
        """
        node = self._node
        if not node.primary_resolver.is_self_registered():
            return False
        age_s = node.view_age.get_age(now)
        return limit_holders.may_grant(age_s, node.lease_until - now)

    def has_recent_view(self):
        """Return whether the view shows which limiters are registered."""
        return self._node.view_age.is_within(
            clock.now(), limit_holders.MAX_REGISTRATION_AGE_S
        )
