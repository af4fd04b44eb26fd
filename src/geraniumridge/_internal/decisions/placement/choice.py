"""Order in which the targets that may serve a read are tried."""

import math
import typing

OBSERVATION_WEIGHT_S = 0.3
"""Age at which an observation has a weight of 1/e; the rest of the weight
is on the mean of all candidates. With 0.5 s, 80 VMs overloaded a target that
returned in replays with knowledge of 0.1 s age."""

LATENCY_WEIGHT_S = 2.0
"""The same for a VM's own latency of a target. Without a limit a target
that was slow once would not be tried again."""

SAME_PENALTY_S = 0.005
"""Candidates whose penalties differ by at most this are drawn from
together."""

MAX_FILL = 1.0
"""Calls per slot up to which a target's load adds to its latency. Further
calls queue, and the observed latency has the time in the queue already.
Counted twice, it moved reads between domains to and fro in replays."""

MIN_FREE_SHARE = 0.05
"""Least share of a target's slots that counts as free, so that targets that
are all full are still drawn by size."""


CONNECTED_WEIGHT = 4
"""Factor of the weight of a target to which an idle connection is open. With
it a draw opens about as many connections as the choice of the least latency
does; without it, twice as many in a replay where half of them are kept."""

MIN_DRAW_VMS = 16
"""Fewest VMs for which targets are drawn. In a smaller fleet each VM sends
more than a sixteenth of the load, and its own calls show when a target is
slow."""


class Candidate(typing.NamedTuple):
    """A target that may serve a read, with the estimated latency there."""

    target: typing.Any
    wait_s: float


class LoadedCandidate(typing.NamedTuple):
    """A target that may serve a read, with what is known of its load.

    `latency_s` is the latency that this VM observed, `latency_age_s` ago.
    `penalty_s` is added to it for whatever makes the target less suitable,
    `connect_s` if a connection has to be opened. `own` is this VM's number
    of outstanding calls, so it includes those sent since the observation;
    `others` is the mean number of the calls of other VMs, observed `age_s`
    ago (infinite if unknown). `is_partial` is whether the target is in
    another domain, whose VMs' calls are not in the observation.
    """

    target: typing.Any
    slots: int
    latency_s: float
    latency_age_s: float
    penalty_s: float
    connect_s: float
    own: int
    others: float
    age_s: float
    is_partial: bool = False


class Estimate(typing.NamedTuple):
    """Estimated latency at a target, and the weight to draw it with.

    The weight is the number of free slots, more with an idle connection.
    """

    target: typing.Any
    wait_s: float
    penalty_s: float
    weight: float


def is_draw_needed(vm_count, targets):
    """Return whether reads of a group are placed by `order_by_draw`.

    With more VMs than slots a target is full while most VMs have no call
    at it, so their own calls do not show its load.

    Parameters
    ----------
    vm_count : int
        Number of VMs in the fleet.
    targets : iterable of desired.Target
        The group's registered targets.
    """
    if vm_count < MIN_DRAW_VMS:
        return False
    return vm_count > sum(max(1, target.slots) for target in targets)


def order_by_wait(candidates):
    """Return the targets of candidates, least estimated latency first.

    Parameters
    ----------
    candidates : iterable of Candidate or Estimate
        The targets that may serve the read.
    """
    ordered = sorted(candidates, key=lambda candidate: candidate.wait_s)
    return [candidate.target for candidate in ordered]


def order_by_draw(candidates, random_source, unseen_ratio=0.0):
    """Return the targets of candidates, one of two drawn ones first.

    Two are drawn, so that VMs with the same knowledge of the loads do not
    choose the same target, and the better one is mostly taken. They are
    drawn from the candidates with the least penalties. One with higher
    penalties is taken for some of the reads while it is better in spite of
    them. The others follow by estimated latency.

    Parameters
    ----------
    candidates : list of LoadedCandidate
        The targets that may serve the read.
    random_source : random.Random
        Source of the draws.
    unseen_ratio : float
        See `estimate_loads`.
    """
    estimates = estimate_loads(candidates, unseen_ratio)
    if not estimates:
        return []
    chosen = _choose(estimates, random_source)
    return [
        chosen.target,
        *order_by_wait(item for item in estimates if item is not chosen),
    ]


def estimate_loads(candidates, unseen_ratio=0.0):
    """Return an `Estimate` of each `LoadedCandidate`.

    An observation counts less the older it is. The mean of the candidates
    in the same or in other domains takes its place, also where there is
    none. The unseen calls at targets of other domains are as many as the
    VMs there would have if each had as many as those of this domain.

    Parameters
    ----------
    candidates : list of LoadedCandidate
        The targets.
    unseen_ratio : float
        Number of VMs in other domains for each VM of this domain.
    """
    near = [item for item in candidates if not item.is_partial]
    distant = [item for item in candidates if item.is_partial]
    unseen_calls = unseen_ratio * sum(
        item.others for item in candidates if math.isfinite(item.age_s)
    )
    unseen_fill = unseen_calls / max(1, _count_slots(distant))
    mean_latency_s = _get_mean_latency_s(candidates)
    return [
        *_estimate_alike(near, 0.0, mean_latency_s),
        *_estimate_alike(distant, unseen_fill, mean_latency_s),
    ]


def _estimate_alike(candidates, unseen_fill, mean_latency_s):
    """Return estimates of candidates that are observed in the same way."""
    observed = [item for item in candidates if math.isfinite(item.age_s)]
    slots = max(1, _count_slots(observed))
    mean_fill = sum(item.others for item in observed) / slots
    return [
        _estimate(candidate, mean_fill, unseen_fill, mean_latency_s)
        for candidate in candidates
    ]


def _count_slots(candidates):
    return sum(max(1, item.slots) for item in candidates)


def _get_mean_latency_s(candidates):
    """Return the mean latency, weighted by the age of the observations."""
    weights = [
        math.exp(-item.latency_age_s / LATENCY_WEIGHT_S) for item in candidates
    ]
    total = sum(weights)
    if total <= 0.0:
        return min((item.latency_s for item in candidates), default=0.0)
    return (
        sum(
            weight * item.latency_s
            for weight, item in zip(weights, candidates)
        )
        / total
    )


def _estimate(candidate, mean_fill, unseen_fill, mean_latency_s):
    slots = max(1, candidate.slots)
    known = math.exp(-candidate.age_s / OBSERVATION_WEIGHT_S)
    fill = known * candidate.others / slots + (1 - known) * mean_fill
    fill += unseen_fill + candidate.own / slots
    known = math.exp(-candidate.latency_age_s / LATENCY_WEIGHT_S)
    latency_s = known * candidate.latency_s + (1 - known) * mean_latency_s
    weight = slots * max(MIN_FREE_SHARE, 1 - fill)
    if not candidate.connect_s:
        weight *= CONNECTED_WEIGHT
    return Estimate(
        candidate.target,
        latency_s * (1 + min(MAX_FILL, fill))
        + candidate.penalty_s
        + candidate.connect_s,
        candidate.penalty_s,
        weight,
    )


def _choose(estimates, random_source):
    least_penalty_s = min(item.penalty_s for item in estimates)
    preferred = []
    others = []
    for item in estimates:
        is_preferred = item.penalty_s <= least_penalty_s + SAME_PENALTY_S
        (preferred if is_preferred else others).append(item)
    first = _choose_of_two(preferred, random_source)
    if not others:
        return first
    second = _choose_of_two(others, random_source)
    return _move_share(first, second, random_source)


def _choose_of_two(estimates, random_source):
    """Draw two estimates by weight and choose one of them."""
    first = _draw(estimates, random_source)
    left = [item for item in estimates if item is not first]
    if not left:
        return first
    return _move_share(first, _draw(left, random_source), random_source)


def _draw(estimates, random_source):
    weights = [item.weight for item in estimates]
    (found,) = random_source.choices(estimates, weights)
    return found


def _move_share(first, second, random_source):
    """Return the second estimate for the share of reads that should move.

    If every read moved to a target that is a little better, all VMs would
    move to it before any of them knew. The share that moves makes up for
    the difference of the latencies, none if the first one is better.
    """
    if second.wait_s >= first.wait_s:
        return first
    moved_share = 1 - second.wait_s / first.wait_s
    return second if random_source.random() < moved_share else first
