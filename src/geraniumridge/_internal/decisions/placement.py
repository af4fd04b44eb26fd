"""Choice of the target for a read that replicas may serve."""

from geraniumridge._internal.models import desired

OTHER_DOMAIN_PENALTY_S = 0.010
"""Latency added for a target in another failure domain, for the cost of
traffic between domains. For one in another region it is the round trip, if
that is longer."""

STALLED_PENALTY_S = 1.0
"""Latency added for a target that has a stalled call."""

BEHIND_PENALTY_S = 0.030
"""Latency added for a target that recently lagged behind the required
position; about the cost of a read that it refuses."""

CONNECT_PENALTY_S = 0.015
"""Latency added where a connection has to be opened, which also occupies
a slot of the target for that time."""

PRIMARY_PENALTY_S = 0.040
"""Latency added for a primary, to keep its slots free for writes, which
no replica can serve."""


def find_min_position(history, session_position, since):
    """Return the log position that a target must have reached for a read.

    Parameters
    ----------
    history : decisions.position_history.PositionHistory
        Positions of the group's primary.
    session_position : records.LogPosition or None
        Position after the last commit of the session, if the route has
        session consistency.
    since : float
        Commits acknowledged before this clock time, in seconds, must be
        visible to the read.

    Returns
    -------
    records.LogPosition or None
        None if no position is known to be sufficient, so that the primary
        must serve the read.
    """
    log_position = history.find_covering(since)
    if log_position is None or session_position is None:
        return log_position
    return max(log_position, session_position)


def is_allowed(target, route, team, view, get_region):
    """Return whether the desired state lets a route use a target.

    Parameters
    ----------
    target : desired.Target
        The candidate.
    route : desired.Route
        The route.
    team : desired.Team or None
        The team that the statement runs for, if any.
    view : decisions.view.View
        The store view.
    get_region : callable
        Returns the region of a failure domain.
    """
    if target.group != route.group:
        return False
    if target.domain in view.evacuated:
        return False
    region = get_region(target.domain)
    if route.regions and region not in route.regions:
        return False
    return team is None or not team.regions or region in team.regions


def estimate_wait_s(
    load,
    target,
    min_position,
    own_domain,
    now,
    has_idle_connection=True,
    round_trip_s=0.0,
):
    """Return the estimated latency of a read at a target, in seconds.

    It grows with the outstanding calls per slot; penalties are added for
    whatever makes the target less suitable.

    Parameters
    ----------
    load : decisions.load.TargetLoad
        Load and health of the target.
    target : desired.Target
        The candidate.
    min_position : records.LogPosition
        Log position that the read requires.
    own_domain : str
        Failure domain of the VM.
    now : float
        Clock time, in seconds.
    has_idle_connection : bool
        Whether an idle connection is available.
    round_trip_s : float, optional
        Round trip to a target in another region, in seconds, else 0.
    """
    outstanding_per_slot = load.outstanding / max(1, target.slots)
    wait_s = load.latency_s * (1 + outstanding_per_slot)
    if target.domain != own_domain:
        wait_s += max(OTHER_DOMAIN_PENALTY_S, round_trip_s)
    if load.is_behind(min_position, now):
        wait_s += BEHIND_PENALTY_S
    if target.role is desired.Role.PRIMARY:
        wait_s += PRIMARY_PENALTY_S
    if not has_idle_connection:
        wait_s += CONNECT_PENALTY_S
    if load.is_stalled(now):
        wait_s += STALLED_PENALTY_S
    return wait_s
