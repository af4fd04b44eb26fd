"""Which targets may serve a read, and which log position they need."""


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
