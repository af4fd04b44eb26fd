"""Order in which the targets that may serve a read are tried."""

import typing


class Candidate(typing.NamedTuple):
    """A target that may serve a read, with the estimated latency there."""

    target: typing.Any
    wait_s: float


def order_by_wait(candidates):
    """Return the targets of candidates, least estimated latency first.

    Parameters
    ----------
    candidates : iterable of Candidate
        The targets that may serve the read.
    """
    ordered = sorted(candidates, key=lambda candidate: candidate.wait_s)
    return [candidate.target for candidate in ordered]
