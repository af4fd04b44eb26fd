"""Clock for ages and leases, which includes time spent in suspension."""

import time


def now():
    """Return the seconds since the VM booted, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
