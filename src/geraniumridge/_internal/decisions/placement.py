"""Choice of the target for a read that replicas may serve."""

import typing

from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records

OTHER_DOMAIN_PENALTY_S = 0.010
"""Latency that a target of another failure domain must make up for;
weighs the cost of bytes between domains."""

STALLED_PENALTY_S = 1.0
"""Latency added for a target with a call that has waited for long."""

BEHIND_PENALTY_S = 0.030
"""Latency added for a target that lately had not reached the position;
about the cost of being refused there."""

CONNECT_PENALTY_S = 0.015
"""Latency added where a connection has to be opened; it also takes a
slot of the target for as long."""

PRIMARY_PENALTY_S = 0.040
"""Latency added for a primary, whose slots only it can use for
writes."""


class SessionPosition(typing.NamedTuple):
    """Position after a session's last commit.

    `lead_term` is the term of the lead under which it was made.
    """

    lead_term: int
    log_position: records.Mark


def find_min_position(history, session_position, lead_term, since):
    """Return the position that a read must see.

    Parameters
    ----------
    marks : decisions.marks.Marks
        Marks of the group under its present lead.
    session_position : SessionPosition or None
        Last commit of the session, where the route honours it.
    lead_term : int
        Term of the present lead.
    since : float
        Commits acknowledged before this clock time must be seen.

    Returns
    -------
    records.Mark or None
        None if nothing proves a position; the primary must serve it.
    """
    log_position = history.find_covering(since)
    if log_position is None:
        return None
    if session_position is None or session_position.lead_term < lead_term:
        # A later lead's log holds every commit acknowledged before it.
        return log_position
    return max(log_position, session_position.log_position)


def is_eligible(target, route, team, view, get_region):
    """Tell whether desired state lets a team's route use a target.

    Parameters
    ----------
    target : desired.Target
        The candidate.
    route : desired.Route
        The route.
    team : desired.Team or None
        The team, if the statement runs for one.
    view : decisions.view.View
        The picture of the store.
    regions : callable
        From failure domain to region.
    """
    if target.group != route.group:
        return False
    if target.domain in view.evacuated:
        return False
    region = get_region(target.domain)
    if route.regions and region not in route.regions:
        return False
    return team is None or not team.regions or region in team.regions


def estimate_wait_s(load, target, minimum, own_domain, now, is_open=True):
    """Return what a read may take at a target, in seconds.

    Parameters
    ----------
    load : decisions.load.TargetLoad
        What is known of the target.
    target : desired.Target
        The candidate.
    minimum : records.Mark
        Position to be reached.
    own_domain : str
        Failure domain of the VM.
    now : float
        Clock time, in seconds.
    is_open : bool
        Whether a connection is at hand.
    """
    busy = load.outstanding / max(1, target.slots)
    wait_s = load.latency_s * (1 + busy)
    if target.domain != own_domain:
        wait_s += OTHER_DOMAIN_PENALTY_S
    if load.is_behind(minimum, now):
        wait_s += BEHIND_PENALTY_S
    if target.role is desired.Role.PRIMARY:
        wait_s += PRIMARY_PENALTY_S
    if not is_open:
        wait_s += CONNECT_PENALTY_S
    if load.is_stalled(now):
        wait_s += STALLED_PENALTY_S
    return wait_s
