"""Clock for ages and leases; it counts the time of a suspended VM."""

import time


def now():
    """Return seconds since the VM booted, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
