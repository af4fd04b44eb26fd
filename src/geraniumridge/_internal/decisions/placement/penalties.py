"""Estimated latency of a read at a target, with penalties."""

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
