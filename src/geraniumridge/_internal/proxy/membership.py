"""Registration of this VM in the store, under a lease."""

import logging
import math

import trio

from geraniumridge._internal.decisions import limit_holders
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.utils import backoff
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

LEASE_DURATION_S = 4.0
"""Duration of the lease, for which a VM that died still counts as a
member. `decisions.view.MAX_UNNOTICED_GAP_S` must stay shorter."""

RENEW_INTERVAL_S = 1.2
"""Interval between renewals; two may fail before the lease expires."""

FIRST_VIEW_WAIT_S = 0.3
"""Longest time that the first registration waits for the store view."""

FIRST_VIEW_POLL_S = 0.01
"""Interval between looks at the view meanwhile."""

DIRECT_ATTEMPT_INTERVAL_S = 4.0
"""Interval at which a VM whose lease a neighbour renews tries the store."""

MIN_RETRY_DELAY_S = 0.2
"""First delay after a failed call; grows, since the platform charges for
each call."""

MAX_RETRY_DELAY_S = 2.0
"""Longest delay after a failed call; it ends early when the store answers
another call again."""


class Membership:
    """Task that registers the VM and renews its lease.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    lease_relay : proxy.lease_relay.LeaseRelay
        Renews the lease through a neighbour.
    on_registered : callable
        Called after each registration that the store has accepted.
    """

    def __init__(self, node, store, lease_relay, on_registered):
        self._node = node
        self._store = store
        self._lease_relay = lease_relay
        self._on_registered = on_registered
        self._lease = 0
        self._is_lease_new = True
        self._registered_at = None
        self._uses_relay = False
        self._direct_attempt_at = -math.inf
        min_lease_s = node.settings.platform.least_lease_ms / 1000
        self._lease_s = max(LEASE_DURATION_S, min_lease_s)

    @property
    def lease(self):
        """Number of the lease, 0 without one."""
        return self._lease

    async def run(self):
        """Stay registered until cancelled."""
        await self._wait_first_view()
        retry_backoff = backoff.Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            try:
                await self._renew_lease()
                retry_backoff.reset()
                await trio.sleep(RENEW_INTERVAL_S)
            except exceptions.LeaseLostError:
                self._lease = 0
                self._is_lease_new = True
                self._registered_at = None
                self._node.is_registration_written = False
                logger.warning(
                    "lease expired; registering again",
                    extra={"event": "lease_lost"},
                )
            except exceptions.PlatformError as error:
                logger.info(
                    "registration or renewal failed; retrying",
                    extra={"event": "member_retry", "why": str(error)},
                )
                with trio.move_on_after(retry_backoff.next_delay_s()):
                    await self._node.wait_store_regained()

    async def _wait_first_view(self):
        """Wait a moment for the view, which shows a former registration."""
        with trio.move_on_after(FIRST_VIEW_WAIT_S):
            while self._node.view.state is None:
                await trio.sleep(FIRST_VIEW_POLL_S)

    async def leave(self):
        """End the lease, which removes the entry from the store."""
        if self._lease:
            lease, self._lease = self._lease, 0
            try:
                await self._store.end_lease(lease)
            except exceptions.PlatformError as error:
                logger.info(
                    "lease not ended; it will expire",
                    extra={"event": "lease_left", "why": str(error)},
                )

    async def _renew_lease(self):
        if self._lease:
            sent_at = await self._keep_lease()
        else:
            sent_at = clock.now()
            self._lease = await self._store.open_lease(self._lease_s)
        # The store starts the lease when the call arrives, never before it
        # was sent, so this bound is safe.
        self._node.lease_until = sent_at + self._lease_s
        if self._is_lease_new:
            self._is_lease_new = False
            if await self._continue_registration():
                self._registered_at = -math.inf
                return
        is_stable = (
            self._registered_at is not None
            and clock.now() - self._registered_at
            >= limit_holders.STABLE_AFTER_S
        )
        if not self._is_registered(is_stable):
            await self._register(is_stable)

    async def _keep_lease(self):
        """Renew the lease; return the clock time of the request.

        While the store does not answer this VM, a neighbour is asked first,
        so that a call without an answer does not cost the lease.
        """
        if self._uses_relay:
            sent_at = clock.now()
            self._uses_relay = await self._lease_relay.renew(self._lease)
            if self._uses_relay and sent_at < self._direct_attempt_at:
                return sent_at
        self._direct_attempt_at = clock.now() + DIRECT_ATTEMPT_INTERVAL_S
        try:
            sent_at = clock.now()
            await self._store.renew_lease(self._lease)
            self._uses_relay = False
            return sent_at
        except exceptions.PlatformUnavailableError:
            sent_at = clock.now()
            self._uses_relay = await self._lease_relay.renew(self._lease)
            if not self._uses_relay:
                raise
            return sent_at

    async def _continue_registration(self):
        """Replace the registration of a former run of this VM, if any.

        All VMs know that one, and none has followed it while it stays, so
        this run is a stable member at once.

        Returns
        -------
        bool
            Whether there was one, and it had not been removed.
        """
        settings = self._node.settings
        former = self._node.view.members.get(settings.vm.name)
        can_continue = (
            former is not None
            and former.is_settled
            and former.boot != self._node.boot
            and former.address == settings.peer_address
        )
        if not can_continue:
            return False
        key = fleet.make_member_key(settings.vm.name)
        expected = {key: self._node.view.get_revision(key)}
        try:
            await self._register(True, expected)
        except exceptions.ConflictError:
            return False
        return True

    def _is_registered(self, is_stable):
        member = self._node.view.members.get(self._node.settings.vm.name)
        registered = member and (member.boot, member.is_settled)
        return registered == (self._node.boot, is_stable)

    async def _register(self, is_stable, expected=None):
        """Write the registration if the expected revisions still hold."""
        settings = self._node.settings
        member = fleet.Member(
            settings.vm.name,
            settings.vm.domain,
            settings.peer_address,
            self._node.boot,
            is_stable,
        )
        write = store_port.Write(
            fleet.make_member_key(settings.vm.name),
            fleet.encode_record(member),
            self._lease,
        )
        await self._store.commit(expected or {}, [write])
        self._node.is_registration_written = True
        if self._registered_at is None:
            self._registered_at = clock.now()
        logger.info(
            "registered",
            extra={"event": "member_registered", "is_stable": is_stable},
        )
        self._on_registered()
