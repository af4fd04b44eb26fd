"""Lease of the key that makes a VM the reporter."""

import logging
import math

import trio

from geraniumridge._internal.decisions.usage import reporter
from geraniumridge._internal import exceptions
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.3
"""Delay after a renewal that failed."""

IDLE_POLL_S = 0.1
"""Interval at which the task looks for a lease to renew."""


class ReporterLease:
    """Lease that only the reporter renews.

    The VM's own lease would not do: while the store does not answer the VM,
    its neighbours renew that one, and the VM would remain the reporter
    without being able to record anything.

    Parameters
    ----------
    store : ports.store.Store
        The platform's store.
    duration_s : float
        Duration of the lease, in seconds.

    Notes
    -----
    `number` is the lease's, 0 without one, and `until` the clock time in
    seconds up to which it lasts at least.
    """

    def __init__(self, store, duration_s):
        self._store = store
        self._duration_s = duration_s
        self._interval_s = duration_s / reporter.RENEWALS_PER_LEASE
        self.number = 0
        self.until = -math.inf

    async def open(self):
        """Open a lease in place of a former one, which is left to expire."""
        self.number = 0
        sent_at = clock.now()
        self.number = await self._store.open_lease(self._duration_s)
        # The store starts the lease when the call arrives, never before it
        # was sent.
        self.until = sent_at + self._duration_s

    async def run(self, is_needed):
        """Renew the lease in time while `is_needed()` returns true."""
        while True:
            lease = self.number
            due_at = self.until - self._duration_s + self._interval_s
            if not lease or not is_needed() or clock.now() < due_at:
                await trio.sleep(IDLE_POLL_S)
                continue
            try:
                await self._renew(lease)
            except exceptions.PlatformError as error:
                logger.info(
                    "lease of the usage reporter not renewed",
                    extra={"event": "usage_lease_retry", "why": str(error)},
                )
                await trio.sleep(RETRY_DELAY_S)

    async def _renew(self, lease):
        sent_at = clock.now()
        try:
            await self._store.renew_lease(lease)
        except exceptions.LeaseLostError:
            if self.number == lease:
                self.number = 0
            raise
        if self.number == lease:
            self.until = sent_at + self._duration_s

    async def end(self):
        """End the lease, so that a successor need not wait for its end."""
        lease, self.number = self.number, 0
        if not lease:
            return
        try:
            await self._store.end_lease(lease)
        except exceptions.PlatformError as error:
            logger.info(
                "lease of the usage reporter not ended; it will expire",
                extra={"event": "usage_lease_left", "why": str(error)},
            )
