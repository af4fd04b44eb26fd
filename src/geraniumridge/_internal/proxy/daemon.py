"""Life of the proxy on one VM: start, readiness, graceful stop."""

import contextlib
import logging
import signal

import trio

from geraniumridge._internal.models import statements
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import failover
from geraniumridge._internal.proxy import follower
from geraniumridge._internal.proxy import leads
from geraniumridge._internal.proxy import limits
from geraniumridge._internal.proxy import membership
from geraniumridge._internal.proxy import news
from geraniumridge._internal.proxy import session
from geraniumridge._internal.proxy import supporters
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

START_WAIT_S = 1.5
"""How long a new session waits for the first view; callers give up
after two seconds."""

CHECK_S = 0.1
"""Pause between checks of what depends on time alone."""

TIDY_S = 1.0
"""Pause between closings of connections that are no longer used."""

READY_AGE_S = 4.0
"""A VM with older knowledge asks for no new callers."""

STOP_SHARE = 0.5
"""Part of the grace period that open transactions may use."""


class Proxy:
    """The statement path of one VM.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Names the next primary of a group.
    """

    def __init__(self, node, store, promoter):
        self._node = node
        self._changed = trio.Event()
        self._is_stopping = False
        self._resting = set()
        self._sessions = set()
        self._peers = datagrams.Peers(node.settings.peer_address)
        self._news = news.News(node, self._peers)
        self._follower = follower.Follower(
            node, store, self._news, self._note_change
        )
        self._membership = membership.Membership(node, store)
        self._leads = leads.LeadKeeper(
            node, store, lambda: self._membership.lease
        )
        self._failover = failover.Failover(node, store, promoter, self._news)
        self._nursery = None
        self._followed = 0
        node.limits = limits.Limits(node, self._peers)
        self._supporters = supporters.Supporters(node, self._peers)

    @property
    def is_stopping(self):
        """Whether a graceful stop has begun."""
        return self._is_stopping

    @property
    def is_ready(self):
        """Whether the VM asks for new callers."""
        if self.is_stopping or self._node.view.state is None:
            return False
        return self._node.freshness.is_within(clock.now(), READY_AGE_S)

    async def start(self, nursery):
        """Start the tasks that keep the state."""
        self._nursery = nursery
        await self._peers.start(nursery)
        nursery.start_soon(self._follower.run)
        nursery.start_soon(self._membership.run)
        nursery.start_soon(self._check)
        nursery.start_soon(self._tidy)
        nursery.start_soon(self._tell_peers)

    async def open_session(self, database, key):
        """Return a new session and None, or None and its refusal."""
        if self._node.view.state is None:
            with trio.move_on_after(START_WAIT_S):
                while self._node.view.state is None:
                    await self._changed.wait()
        opened = session.Session(self._node, database, key)
        refused = opened.check_start()
        if refused is not None:
            return None, session.refuse(refused, "cannot start a session")
        self._sessions.add(opened)
        return opened, None

    async def end_session(self, ended):
        """Forget a session; rolls its transaction back."""
        self._sessions.discard(ended)
        with trio.CancelScope(shield=True):
            await ended.close()

    @contextlib.contextmanager
    def end_on_stop(self):
        """Leave the block early when a graceful stop begins."""
        scope = trio.CancelScope()
        self._resting.add(scope)
        if self.is_stopping:
            scope.cancel()
        try:
            with scope:
                yield
        finally:
            self._resting.discard(scope)

    async def run_until_stopped(self):
        """Wait for the signal to stop, then let open work end."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    break
                logger.info("reload", extra={"event": "reload"})
        logger.info("stopping", extra={"event": "stopping"})
        self._is_stopping = True
        for scope in list(self._resting):
            scope.cancel()
        await self._drain()
        logger.info("stopped", extra={"event": "stopped"})

    async def _drain(self):
        grace_s = self._node.settings.bounds.stop_grace_s
        with trio.move_on_after(grace_s * STOP_SHARE):
            while not all(item.is_idle for item in self._sessions):
                await trio.sleep(CHECK_S)
        for item in list(self._sessions):
            await item.expire()
        with trio.move_on_after(grace_s * (1 - STOP_SHARE) / 2):
            while self._sessions:
                await trio.sleep(CHECK_S)
        with trio.move_on_after(CHECK_S * 5):
            await self._membership.leave()
        self._node.pools.close_idle()

    async def _check(self):
        while True:
            await trio.sleep(CHECK_S)
            self._node.view.expire(clock.now())
            self._node.limits.refresh()
            self._leads.check_evidence()
            if not self.is_stopping:
                self._failover.check(self._nursery)

    async def _tidy(self):
        while True:
            await trio.sleep(TIDY_S)
            now = clock.now()
            self._node.pools.close_unused(self._node.view, now)
            if self._node.freshness.get_age(now) > self._node.key_age_s:
                # Other VMs can use the targets' few connections.
                self._node.pools.close_idle()

    async def _tell_peers(self):
        while True:
            await trio.sleep(CHECK_S)
            await self._node.limits.keep_pledges()
            await self._supporters.ask()

    def _note_change(self):
        """Follow the view; called after each answer of the store."""
        revision = self._node.view.unchanged_since
        if revision == self._followed:
            return
        self._followed = revision
        self._node.pools.set_limits(self._node.view)
        self._leads.check(self._nursery)
        self._changed.set()
        self._changed = trio.Event()


def refuse_stopping():
    """Return the answer to statements that come during a stop."""
    return session.refuse(statements.Outcome.OVERLOADED, "stopping")
