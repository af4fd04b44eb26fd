"""Whether a caller's operation may start, by desired state and rate."""

import typing

from geraniumridge._internal.models import desired
from geraniumridge._internal.models import statements
from geraniumridge._internal.utils import clock

Outcome = statements.Outcome

CURRENT_S = 2.5
"""Age up to which an unknown key or database is refused as unknown;
with older knowledge it may just have been added."""

NO_TEAM = "-"
"""Whom statements without a key run for, on routes open to all."""


class Grant(typing.NamedTuple):
    """A route and a team, or the outcome that refuses the operation."""

    route: desired.Route | None = None
    team: str = NO_TEAM
    outcome: Outcome | None = None
    detail: str = ""


class Admission:
    """Admits the operations of one session.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    database : str
        What the caller connected to.
    key : str
        The caller's key.
    """

    def __init__(self, node, database, key):
        self._node = node
        self._database = database
        self._key = key

    @property
    def database(self):
        """What the caller connected to."""
        return self._database

    @property
    def team(self):
        """The team that the key belongs to now, or None."""
        return self._node.view.state.keys.get(self._key)

    def check_start(self):
        """Return the outcome that refuses the session, or None."""
        grant = self._find()
        return grant.outcome

    def check_key(self):
        """Return the outcome that ends an open transaction, or None."""
        state = self._node.view.state
        route = state.routes.get(self._database)
        if route is not None and route.is_public:
            return None
        if not self._is_current(self._node.max_key_age_s):
            return Outcome.ROLLED_BACK
        if self._key not in state.keys:
            return Outcome.UNAUTHORIZED
        return None

    async def admit(self):
        """Return the `Grant` of one operation, counted by its rate."""
        grant = self._find()
        if grant.outcome is not None or grant.team == NO_TEAM:
            return grant
        team = self._node.view.state.teams.get(grant.team)
        if team is None or await self._node.limits.take(team):
            return grant
        return Grant(outcome=Outcome.OVERLOADED, detail="rate limit")

    def _find(self):
        state = self._node.view.state
        if state is None:
            return Grant(outcome=Outcome.OVERLOADED, detail="not ready")
        route = state.routes.get(self._database)
        if route is None:
            return self._refuse(Outcome.UNKNOWN_DATABASE, self._database)
        team = state.keys.get(self._key)
        if team is None and not route.is_public:
            return self._refuse(Outcome.UNAUTHORIZED, "unknown key")
        if team is None:
            return Grant(route)
        if not self._is_current(self._node.max_key_age_s):
            age = self._node.freshness.get_age(clock.now())
            detail = f"cannot check keys, knowledge is {age:.1f} s old"
            return Grant(outcome=Outcome.OVERLOADED, detail=detail)
        return Grant(route, team)

    def _refuse(self, outcome, detail):
        if self._is_current(CURRENT_S):
            return Grant(outcome=outcome, detail=detail)
        return Grant(outcome=Outcome.OVERLOADED, detail="store out of reach")

    def _is_current(self, bound_s):
        return self._node.freshness.is_within(clock.now(), bound_s)
