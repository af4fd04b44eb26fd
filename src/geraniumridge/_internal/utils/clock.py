"""Clock of the proxy on the users' platform for ages and leases.

It is CLOCK_BOOTTIME, which goes on while the VM is suspended, as the ages
of the store view and the leases in the store do. The daemon with the HTTP
interface uses `trio.current_time()`.
"""

import time


def now():
    """Return the seconds since the VM booted, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
