"""Round-trip times to other VMs and failure domains, and time limits.

The estimates change time limits and pauses only where the settings place the
other end in another region. In a deployment with one region they are
measured, but nothing depends on them.
"""

import collections
import math
import statistics

SMOOTHING_WEIGHT = 1 / 8
"""Weight of a sample in the smoothed round trip (RFC 6298)."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of a sample in the mean deviation (RFC 6298)."""

DEVIATIONS = 4
"""Mean deviations by which a time limit exceeds the round trip (RFC 6298)."""

FIRST_ROUND_TRIP_S = 0.1
"""Estimate for another region before the first sample; serves regions up to
50 ms apart one way."""

FIRST_DEVIATION_S = FIRST_ROUND_TRIP_S / 4
"""Mean deviation before the first sample."""

MAX_ADDED_S = 0.3
"""By how much a time limit may exceed its floor where the caller sets no
ceiling of its own."""

MAX_LEAST_S = 0.1
"""Most time that an answer from another region is taken to need at least; the
estimate is a mean, and may come from an overload that has ended."""

MAX_BACKOFF = 4
"""Largest factor on a time limit after repeated time-outs. A cut domain
leaves all queries unanswered, and a limiter there must still count as silent
in bounded time."""

SAMPLE_LIFETIME_S = 60.0
"""Age of the last sample after which the next one replaces the estimate; the
VM may have been restarted elsewhere, or the route may have changed."""

SUMMARY_INTERVAL_S = 1.0
"""Least time between two computations of a domain's estimate, which looks at
all of its VMs."""

MAX_VMS = 4_096
"""VMs with an estimate of their own; the oldest are forgotten first."""

CONNECT_ROUND_TRIPS = 2
"""Round trips of opening a connection to a target: TCP and the session."""


class Estimate:
    """Smoothed round-trip time and its mean deviation, in seconds."""

    __slots__ = ("smoothed_s", "deviation_s", "updated_at")

    def __init__(self):
        self.smoothed_s = FIRST_ROUND_TRIP_S
        self.deviation_s = FIRST_DEVIATION_S
        self.updated_at = -math.inf

    @property
    def is_measured(self):
        """Whether there was a sample."""
        return self.updated_at > -math.inf

    def note(self, seconds, now):
        """Add a sample."""
        if now - self.updated_at > SAMPLE_LIFETIME_S:
            self.smoothed_s = seconds
            self.deviation_s = seconds / 2
        else:
            error = seconds - self.smoothed_s
            self.smoothed_s += SMOOTHING_WEIGHT * error
            self.deviation_s += DEVIATION_WEIGHT * (
                abs(error) - self.deviation_s
            )
        self.updated_at = now

    def get_timeout_s(self, floor_s):
        """Return the time limit of a query that takes `floor_s` without it.

        The floor allows for the work of both VMs, so it is added to the
        round trip where the deviation is smaller.
        """
        return self.smoothed_s + max(floor_s, DEVIATIONS * self.deviation_s)


class _Vm:
    """Estimate for one VM while it stays in one domain."""

    __slots__ = ("domain", "estimate", "timeouts")

    def __init__(self, domain):
        self.domain = domain
        self.estimate = Estimate()
        self.timeouts = 0


class _Domain:
    """Estimate for the VMs of a domain: the median of theirs.

    A slow VM does not determine it, however often it is queried.
    """

    def __init__(self):
        self.estimate = Estimate()
        self.vms = {}
        self._summarized_at = -math.inf

    def note(self, vm, estimate, now):
        """Take a VM's changed estimate into account."""
        self.vms[vm] = estimate
        if now - self._summarized_at < SUMMARY_INTERVAL_S:
            return
        self._summarized_at = now
        recent = [
            item
            for item in self.vms.values()
            if now - item.updated_at <= SAMPLE_LIFETIME_S
        ]
        found = self.estimate
        found.smoothed_s = statistics.median(
            item.smoothed_s for item in recent
        )
        found.deviation_s = statistics.median(
            item.deviation_s for item in recent
        )
        found.updated_at = now


_UNMEASURED = Estimate()


class Distances:
    """Round trips of one VM to the others, and its time limits.

    Parameters
    ----------
    own_domain : str
        Failure domain of this VM.
    regions : dict
        Region by failure domain.
    find_domain : callable
        Returns the failure domain of a VM, None if it is unknown.
    """

    def __init__(self, own_domain, regions, find_domain):
        self._regions = regions
        self._own_region = regions.get(own_domain, "")
        self._find_domain = find_domain
        self._vms = collections.OrderedDict()
        self._domains = {}
        self._connects = {}

    def is_distant(self, domain):
        """Return whether a failure domain is in another region.

        One that the settings do not name counts as near.
        """
        region = self._regions.get(domain, self._own_region)
        return region != self._own_region

    def note_round_trip(self, vm, seconds, now):
        """Add a sample of the round trip to a VM.

        Parameters
        ----------
        vm : str
            The VM.
        seconds : float
            Time between a query and its answer, which may be late.
        now : float
            Clock time, in seconds.
        """
        entry = self._get_vm(vm)
        if entry is None:
            return
        entry.timeouts = 0
        entry.estimate.note(seconds, now)
        found = self._domains.get(entry.domain)
        if found is None:
            found = self._domains[entry.domain] = _Domain()
        found.note(vm, entry.estimate, now)

    def note_timeout(self, vm):
        """Note that a VM left a query unanswered, which is no sample."""
        entry = self._get_vm(vm)
        if entry is not None:
            entry.timeouts += 1

    def get_timeout_s(self, vm, floor_s, ceiling_s=None):
        """Return the time limit of a query to a VM, in seconds.

        Parameters
        ----------
        vm : str
            The VM.
        floor_s : float
            Time limit within one region. It is never less.
        ceiling_s : float, optional
            What the caller can still wait; by default `MAX_ADDED_S` above
            the floor.
        """
        domain = self._find_domain(vm)
        if domain is None or not self.is_distant(domain):
            return floor_s
        if ceiling_s is None:
            ceiling_s = floor_s + MAX_ADDED_S
        timeout_s = self._find_estimate(vm, domain).get_timeout_s(floor_s)
        entry = self._vms.get(vm)
        if entry is not None and entry.timeouts > 1:
            # One datagram may be lost; several may mean a longer route.
            timeout_s *= min(MAX_BACKOFF, 2 ** (entry.timeouts - 1))
        return max(floor_s, min(timeout_s, ceiling_s))

    def get_vm_round_trip_s(self, vm):
        """Return the round trip to a VM in another region, else 0."""
        domain = self._find_domain(vm)
        if domain is None or not self.is_distant(domain):
            return 0.0
        return self._find_estimate(vm, domain).smoothed_s

    def get_round_trip_s(self, domain):
        """Return the round trip to a domain, in seconds.

        Without a sample it is 0 in the own region.
        """
        found = self._find_domain_round_trip_s(domain)
        if found is not None:
            return found
        return FIRST_ROUND_TRIP_S if self.is_distant(domain) else 0.0

    def get_added_s(self, domain):
        """Return the round trip to a domain of another region, else 0.

        It is at most `MAX_ADDED_S`, so that samples of an overload do not
        prolong pauses further.
        """
        if not self.is_distant(domain):
            return 0.0
        return min(MAX_ADDED_S, self.get_round_trip_s(domain))

    def get_least_s(self, domain):
        """Return the time that an answer from a domain takes at least.

        It is 0 unless it was measured in another region, so that a first
        estimate does not prevent the first attempt.
        """
        if not self.is_distant(domain):
            return 0.0
        measured_s = self._find_domain_round_trip_s(domain) or 0.0
        return min(MAX_LEAST_S, measured_s)

    def get_longest_s(self, domains):
        """Return the longest round trip to some domains of other regions."""
        return max(map(self.get_added_s, domains), default=0.0)

    def note_connect(self, domain, seconds, now):
        """Add a sample of the time that opening a connection took."""
        if not self.is_distant(domain):
            return
        found = self._connects.get(domain)
        if found is None:
            found = self._connects[domain] = Estimate()
        found.note(seconds, now)

    def get_connect_timeout_s(self, domain, floor_s):
        """Return the time limit of opening a connection to a target.

        Parameters
        ----------
        domain : str
            Failure domain of the target.
        floor_s : float
            Time limit within one region. It is never less.
        """
        if not self.is_distant(domain):
            return floor_s
        found = self._connects.get(domain)
        if found is None:
            round_trip_s = self.get_round_trip_s(domain)
            return floor_s + CONNECT_ROUND_TRIPS * round_trip_s
        return min(found.get_timeout_s(floor_s), floor_s + MAX_ADDED_S)

    def list_measured(self):
        """Return the round trips of all domains with a sample, in seconds."""
        return {
            domain: found.estimate.smoothed_s
            for domain, found in self._domains.items()
        }

    def _get_vm(self, vm):
        """Return the `_Vm` of a VM, None if its domain is unknown."""
        domain = self._find_domain(vm)
        if domain is None:
            return None
        entry = self._vms.get(vm)
        if entry is not None and entry.domain == domain:
            return entry
        self._forget(vm)
        if len(self._vms) >= MAX_VMS:
            self._forget(next(iter(self._vms)))
        entry = self._vms[vm] = _Vm(domain)
        return entry

    def _forget(self, vm):
        entry = self._vms.pop(vm, None)
        found = self._domains.get(entry.domain) if entry else None
        if found is not None:
            found.vms.pop(vm, None)

    def _find_estimate(self, vm, domain):
        """Return the estimate of a VM, else of its domain, else the first."""
        entry = self._vms.get(vm)
        if (
            entry is not None
            and entry.domain == domain
            and entry.estimate.is_measured
        ):
            return entry.estimate
        found = self._domains.get(domain)
        return _UNMEASURED if found is None else found.estimate

    def _find_domain_round_trip_s(self, domain):
        """Return the measured round trip to a domain, or None."""
        found = self._domains.get(domain)
        if found is not None:
            return found.estimate.smoothed_s
        found = self._connects.get(domain)
        if found is not None:
            return found.smoothed_s / CONNECT_ROUND_TRIPS
        return None
