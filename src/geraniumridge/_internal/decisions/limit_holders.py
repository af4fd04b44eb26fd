"""Choice of the VMs that limit a team, from the registered members."""

from geraniumridge._internal.utils import rendezvous

STABLE_AFTER_S = 4.0
"""Time since the opening of its lease after which a VM is a stable member.
A limiter whose store view is younger than this has seen the VM by then."""

GRANT_END_MARGIN_S = 0.1
"""Time by which a limiter stops granting before its successor may begin."""

MAX_REGISTRATION_AGE_S = 2.2
"""Age up to which the store view shows that a limiter is registered. While
the store answers, polls of it and queries to the domain's reader confirm
the view more often."""


def find_limiter(team, members):
    """Return the `fleet.Member` that limits a team, or None.

    Parameters
    ----------
    team : str
        The team.
    members : dict
        Registered `fleet.Member` by VM.
    """
    owner = rendezvous.choose_node(
        make_limiter_key(team), list_candidates(members.values())
    )
    return members.get(owner)


def find_standby(team, domain, limiter, members):
    """Return the `fleet.Member` that is a team's standby, or None.

    It is another VM than the limiter, unless the domain has only that one.

    Parameters
    ----------
    team : str
        The team.
    domain : str
        The failure domain.
    limiter : fleet.Member or None
        The team's limiter.
    members : dict
        Registered `fleet.Member` by VM.
    """
    candidates = list_candidates(
        member for member in members.values() if member.domain == domain
    )
    if limiter is not None and candidates != [limiter.vm]:
        candidates = [vm for vm in candidates if vm != limiter.vm]
    owner = rendezvous.choose_node(make_standby_key(team), candidates)
    return members.get(owner)


def make_limiter_key(team):
    """Return the key by which the limiter of a team is chosen."""
    return f"limiter/{team}"


def make_standby_key(team):
    """Return the key by which the standby of a team is chosen."""
    return f"standby/{team}"


def list_candidates(members):
    """Return the names of the VMs that may be limiters or standbys.

    Only stable members are candidates, so that none begins before its
    predecessor has seen its registration. If fewer than half of the
    members are stable, all of them are candidates, as there is no
    predecessor to wait for.

    Parameters
    ----------
    members : iterable of fleet.Member
        Registered members.
    """
    members = list(members)
    stable = [member.vm for member in members if member.is_settled]
    if 2 * len(stable) < len(members):
        return [member.vm for member in members]
    return stable


def may_grant(age_s, lease_left_s):
    """Return whether a limiter may still grant tokens.

    A successor begins when the limiter's lease has ended or when the
    successor is a stable member. The limiter may not have seen it yet, so
    it stops before either can be the case.

    Parameters
    ----------
    age_s : float
        Age of the limiter's store view, in seconds.
    lease_left_s : float
        Least time until the limiter's lease ends, in seconds.
    """
    return (
        age_s <= STABLE_AFTER_S - GRANT_END_MARGIN_S
        and lease_left_s >= GRANT_END_MARGIN_S
    )
