"""Choice of the VMs that limit a team, from the registered members."""

import typing

from geraniumridge._internal.utils import rendezvous

STABLE_AFTER_S = 4.0
"""Time since its registration after which a VM is a stable member.
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


class _FormerCandidates(typing.NamedTuple):
    """Candidates that were replaced at a clock time, in seconds."""

    names: frozenset[str]
    replaced_at: float


class CandidateHistory:
    """Candidates for the limiters as other VMs may still know them.

    A VM whose store view is not current goes by an earlier set, and is the
    limiter of a team for itself meanwhile.
    """

    def __init__(self):
        self._names = None
        self._former = []
        self._former_names = frozenset()

    def note(self, now, names, settled):
        """Record the present candidates.

        Parameters
        ----------
        now : float
            Clock time, in seconds.
        names : iterable of str
            The candidates.
        settled : iterable of str
            Those that are stable members, which are the candidates of a VM
            that knows no others.
        """
        names = frozenset(names)
        if self._names is None:
            self._names = frozenset(settled)
        if names != self._names:
            self._former.append(_FormerCandidates(self._names, now))
            self._former_names |= self._names
            self._names = names

    def list_predecessors(self, key, own, now):
        """Return the VMs that may take themselves for the owner of a key.

        Parameters
        ----------
        key : str
            The key.
        own : str
            Name of this VM, which is not among them.
        now : float
            Clock time, in seconds.

        Returns
        -------
        set of str
        """
        self._expire(now)
        ranked = rendezvous.rank_nodes(key, self._former_names)
        owners = {
            next((vm for vm in ranked if vm in item.names), None)
            for item in self._former
        }
        return owners - {None, own}

    def _expire(self, now):
        if not self._former:
            return
        if now - self._former[0].replaced_at < STABLE_AFTER_S:
            return
        self._former = [
            item
            for item in self._former
            if now - item.replaced_at < STABLE_AFTER_S
        ]
        self._former_names = frozenset().union(
            *(item.names for item in self._former)
        )


class Takeover:
    """Wait of a VM that has become a limiter for those before it.

    Parameters
    ----------
    predecessors : iterable of str
        VMs that may still grant tokens.
    now : float
        Clock time, in seconds, at which this VM knew that it is the limiter.
        No VM relies on an earlier store view once `STABLE_AFTER_S` has
        passed.
    """

    def __init__(self, predecessors, now):
        self._predecessors = set(predecessors)
        self._ends_at = now + STABLE_AFTER_S

    @property
    def predecessors(self):
        """The VMs that have not said that they stopped."""
        return frozenset(self._predecessors)

    def note_stopped(self, vm):
        """Record that a VM grants no more tokens."""
        self._predecessors.discard(vm)

    def is_done(self, now):
        """Return whether no other VM can grant tokens any more."""
        return not self._predecessors or now >= self._ends_at


def may_grant(age_s, lease_left_s):
    """Return whether a limiter may still grant tokens.

    A successor begins when the limiter's lease has ended, when the limiter
    has told it that it stopped, or when the limiter's view has to show the
    successor (see `Takeover`). The limiter stops before that.

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
