"""Admission of callers' operations by route, key and team rate limit."""

import typing

from geraniumridge._internal.models import desired
from geraniumridge._internal.models import statements
from geraniumridge._internal.utils import clock

Outcome = statements.Outcome

REJECT_MAX_AGE_S = 2.5
"""Age of the store view up to which an unknown key or database is
rejected as unknown. With an older view it may just have been added, so
the operation is refused as overloaded instead."""

TOKEN_WAIT_SHARE = 0.2
"""Fraction of the route's latency objective for which an operation waits for
a token of its team's limit, before it is refused."""

TOKEN_ANSWER_SHARE = 0.25
"""Fraction of the route's time limit for which an operation waits for the
answer of a limiter in another region. The rest is for the statement."""

NO_TEAM = "-"
"""Team name of statements without a known key, on public routes."""


class AdmissionResult(typing.NamedTuple):
    """The route and team of an operation, or the outcome that refuses it."""

    route: desired.Route | None = None
    team: str = NO_TEAM
    outcome: Outcome | None = None
    detail: str = ""


class Admission:
    """Admission control for the operations of one session.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    database : str
        Database that the caller connected to.
    key : str
        The caller's key.
    """

    def __init__(self, node, database, key):
        self._node = node
        self._database = database
        self._key = key

    @property
    def database(self):
        """Database that the caller connected to."""
        return self._database

    @property
    def team(self):
        """Team that the key currently belongs to, or None."""
        return self._node.view.state.keys.get(self._key)

    def check_start(self):
        """Return the outcome that refuses a new session, or None."""
        admission_result = self._check_access()
        return admission_result.outcome

    def check_key(self, route, team):
        """Return the outcome that ends an admitted operation, or None.

        An operation ends when its key was removed or given to another team,
        or when the store view is too old to tell whether it was.

        Parameters
        ----------
        route : desired.Route
            Route for which the operation was admitted.
        team : str
            Team for which it was admitted, `NO_TEAM` without one.
        """
        current_team = self.team
        if current_team is None and not route.is_public:
            return Outcome.UNAUTHORIZED
        if team != (current_team or NO_TEAM):
            return Outcome.ROLLED_BACK
        if team == NO_TEAM or self._is_view_within(self._node.max_key_age_s):
            return None
        return Outcome.ROLLED_BACK

    async def admit(self):
        """Return the `AdmissionResult` for one operation.

        An operation of a team takes one token of its rate limit.
        """
        admission_result = self._check_access()
        if (
            admission_result.outcome is not None
            or admission_result.team == NO_TEAM
        ):
            return admission_result
        team = self._node.view.state.teams.get(admission_result.team)
        route = admission_result.route
        wait_s = TOKEN_WAIT_SHARE * route.latency_objective_s
        answer_wait_s = TOKEN_ANSWER_SHARE * route.timeout_s
        if team is None or await self._node.limits.take(
            team, wait_s, answer_wait_s
        ):
            return admission_result
        return AdmissionResult(outcome=Outcome.OVERLOADED, detail="rate limit")

    def _check_access(self):
        state = self._node.view.state
        if state is None:
            return AdmissionResult(
                outcome=Outcome.OVERLOADED, detail="not ready"
            )
        route = state.routes.get(self._database)
        if route is None:
            return self._refuse_unknown(
                Outcome.UNKNOWN_DATABASE, self._database
            )
        team = state.keys.get(self._key)
        if team is None and not route.is_public:
            return self._refuse_unknown(Outcome.UNAUTHORIZED, "unknown key")
        if team is None:
            return AdmissionResult(route)
        if not self._is_view_within(self._node.max_key_age_s):
            age = self._node.view_age.get_age(clock.now())
            detail = f"cannot check keys, knowledge is {age:.1f} s old"
            return AdmissionResult(outcome=Outcome.OVERLOADED, detail=detail)
        return AdmissionResult(route, team)

    def _refuse_unknown(self, outcome, detail):
        if self._is_view_within(REJECT_MAX_AGE_S):
            return AdmissionResult(outcome=outcome, detail=detail)
        return AdmissionResult(
            outcome=Outcome.OVERLOADED, detail="store out of reach"
        )

    def _is_view_within(self, max_age_s):
        return self._node.view_age.is_within(clock.now(), max_age_s)
