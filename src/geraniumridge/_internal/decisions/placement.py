"""Choice of the target for a read that replicas may serve."""

import typing

from geraniumridge._internal.models import desired
from geraniumridge._internal.models import records

OTHER_DOMAIN_S = 0.010
"""Latency that a target of another failure domain must make up for;
weighs the cost of bytes between domains."""

STALLED_S = 1.0
"""Latency added for a target with a call that has waited for long."""

BEHIND_S = 0.030
"""Latency added for a target that lately had not reached the position;
about the cost of being refused there."""

CONNECT_S = 0.015
"""Latency added where a connection has to be opened; it also takes a
slot of the target for as long."""

PRIMARY_S = 0.040
"""Latency added for a primary, whose slots only it can use for
writes."""


class SessionMark(typing.NamedTuple):
    """Position after a session's last commit.

    `lead_term` is the term of the lead under which it was made.
    """

    lead_term: int
    mark: records.LogPosition


def find_minimum(marks, session_mark, lead_term, since):
    """Return the position that a read must see.

    Parameters
    ----------
    marks : decisions.marks.Marks
        Marks of the group under its present lead.
    session_mark : SessionMark or None
        Last commit of the session, where the route honours it.
    lead_term : int
        Term of the present lead.
    since : float
        Commits acknowledged before this clock time must be seen.

    Returns
    -------
    records.LogPosition or None
        None if nothing proves a position; the primary must serve it.
    """
    mark = marks.find_oldest(since)
    if mark is None:
        return None
    if session_mark is None or session_mark.lead_term < lead_term:
        # A later lead's log holds every commit acknowledged before it.
        return mark
    return max(mark, session_mark.mark)


def is_eligible(target, route, team, view, regions):
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
    region = regions(target.domain)
    if route.regions and region not in route.regions:
        return False
    return team is None or not team.regions or region in team.regions


def estimate_wait(load, target, minimum, own_domain, now, is_open=True):
    """Return what a read may take at a target, in seconds.

    Parameters
    ----------
    load : decisions.load.TargetLoad
        What is known of the target.
    target : desired.Target
        The candidate.
    minimum : records.LogPosition
        Position to be reached.
    own_domain : str
        Failure domain of the VM.
    now : float
        Clock time, in seconds.
    is_open : bool
        Whether a connection is at hand.
    """
    busy = load.outstanding / max(1, target.slots)
    wait = load.latency_s * (1 + busy)
    if target.domain != own_domain:
        wait += OTHER_DOMAIN_S
    if load.is_behind(minimum, now):
        wait += BEHIND_S
    if target.role is desired.Role.PRIMARY:
        wait += PRIMARY_S
    if not is_open:
        wait += CONNECT_S
    if load.is_stalled(now):
        wait += STALLED_S
    return wait
