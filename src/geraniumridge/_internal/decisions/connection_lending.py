"""Which VMs keep the connections to a target and lend them to the others.

Load pattern: a connection to a target belongs to one team, and many VMs with
many teams want the few that the target allows. If each VM opens its own,
hardly any is used twice, and opening them takes as much of the target's slots
as the statements do. A few VMs of the target's failure domain keep them
instead, and each team has one lender for each target.
"""

import typing

from geraniumridge._internal.decisions import connection_share
from geraniumridge._internal.utils import rendezvous

LENDERS_PER_TARGET = 4
"""VMs that lend connections to one target. With fewer, more teams share the
same connections; with more, the failure of one VM closes fewer of them."""

LENT_SHARE = 0.75
"""Share of a target's limit that its lenders use. The rest is for VMs that
do not reach a lender and for connections of failed VMs."""

MAX_FORWARD_AGE_S = 0.05
"""Age above which a lender does not pass a statement on. Its position, its
key and the primary were checked when it was sent, and
`proxy.router.TRANSIT_MARGIN_S` covers the way to the target."""

FIRST_RETRY_DELAY_S = 0.5
"""Delay before a lender that did not answer is asked again; each further
failure in a row doubles it."""

MAX_RETRY_DELAY_S = 4.0
"""Longest such delay."""

PROBE_HOLD_OFF_S = 0.5
"""How long one request to a lender that failed keeps others from asking."""

MAX_CLOCK_DRIFT_S = 0.02
"""Negative age of a statement up to which the clocks of two VMs may have
drifted during a loan. Below, the lender's clock has stood still."""


def are_lent(max_connections, member_count):
    """Return whether the connections to a target are lent.

    They are if not every VM can keep one open.

    Parameters
    ----------
    max_connections : int
        The target's limit for all VMs together.
    member_count : int
        Number of VMs.
    """
    kept_open = int(connection_share.KEEP_OPEN_SHARE * max_connections)
    return kept_open < member_count


def list_lenders(target, members, max_connections):
    """Return the names of the VMs that lend connections to a target.

    They are no more than the connections that they may keep open together.

    Parameters
    ----------
    target : desired.Target
        The target.
    members : iterable of fleet.Member
        Registered members.
    max_connections : int
        The target's limit for all VMs together.
    """
    candidates = [
        member.vm for member in members if member.domain == target.domain
    ]
    ranked = rendezvous.rank_nodes(f"lenders/{target.id}", candidates)
    count = min(LENDERS_PER_TARGET, int(LENT_SHARE * max_connections))
    return tuple(ranked[: max(1, count)])


def find_lender(target_id, team, lenders):
    """Return the lender of a team's connections, None without lenders."""
    return rendezvous.choose_node(f"lender/{target_id}/{team}", lenders)


def compute_lender_limits(max_connections, lender_count):
    """Return the `connection_share.PoolLimits` of one lender."""
    share = max(1, int(LENT_SHARE * max_connections / lender_count))
    return connection_share.PoolLimits(share, share)


def compute_borrower_limits(limits):
    """Return the limits of a VM that borrows, by those of an equal share.

    It opens connections only if it gets none from a lender, and keeps none.
    """
    return limits._replace(max_kept_open=0)


class ForwardClock:
    """Age of statements on their way through a lender.

    The clocks of two VMs differ. The borrower sends how long after the
    arrival of the grant a statement left, and the lender how long after the
    sending of the grant it arrived; the difference is at least the time that
    the statement took.

    Parameters
    ----------
    granted_at : float
        Clock time in seconds at which the lender sent the grant.
    """

    def __init__(self, granted_at):
        self._granted_at = granted_at

    def is_too_old(self, elapsed_s, now):
        """Return whether a statement must not be passed on.

        Parameters
        ----------
        elapsed_s : float
            Seconds from the arrival of the grant until it was sent.
        now : float
            Clock time, in seconds.
        """
        age_s = now - self._granted_at - elapsed_s
        return not -MAX_CLOCK_DRIFT_S <= age_s <= MAX_FORWARD_AGE_S


class _Failures(typing.NamedTuple):
    noted_at: float
    delay_s: float
    retry_at: float


class LenderHealth:
    """Lenders that did not answer, and when each may be asked again."""

    def __init__(self):
        self._failures = {}

    def may_ask(self, vm, now):
        """Return whether a lender may be asked now.

        One request at a time probes a lender that failed.
        """
        failures = self._failures.get(vm)
        if failures is None:
            return True
        if now < failures.retry_at:
            return False
        self._failures[vm] = failures._replace(retry_at=now + PROBE_HOLD_OFF_S)
        return True

    def note_failure(self, vm, now):
        """Record that a lender could not be reached or did not answer.

        Requests that were sent together count once.
        """
        former = self._failures.get(vm)
        delay_s = FIRST_RETRY_DELAY_S
        if former is not None:
            if now - former.noted_at < former.delay_s / 2:
                return
            delay_s = min(MAX_RETRY_DELAY_S, 2 * former.delay_s)
        self._failures[vm] = _Failures(now, delay_s, now + delay_s)

    def note_answer(self, vm):
        """Record an answer of a lender."""
        self._failures.pop(vm, None)

    def retain(self, vms):
        """Forget the lenders that are no longer registered."""
        for vm in self._failures.keys() - set(vms):
            del self._failures[vm]
