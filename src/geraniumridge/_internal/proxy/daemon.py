"""Lifecycle of the proxy on one VM: start, readiness, graceful stop."""

import contextlib
import logging
import signal

import trio

from geraniumridge._internal.models import statements
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.proxy import acknowledgement_exchange
from geraniumridge._internal.proxy import caller_accounts
from geraniumridge._internal.proxy import failover
from geraniumridge._internal.proxy import follower
from geraniumridge._internal.proxy import lease_relay
from geraniumridge._internal.proxy.lending import borrower
from geraniumridge._internal.proxy.lending import directory
from geraniumridge._internal.proxy.lending import lender
from geraniumridge._internal.proxy import limits
from geraniumridge._internal.proxy import load_exchange
from geraniumridge._internal.proxy import membership
from geraniumridge._internal.proxy import position_exchange
from geraniumridge._internal.proxy import primary_revocation
from geraniumridge._internal.proxy import quorum_exchange
from geraniumridge._internal.proxy import session
from geraniumridge._internal.proxy import suspicion_exchange
from geraniumridge._internal.proxy import target_recorder
from geraniumridge._internal.proxy.usage import collection
from geraniumridge._internal.proxy.usage import reporting
from geraniumridge._internal.proxy import view_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import supervision

logger = logging.getLogger(__name__)

FIRST_VIEW_TIMEOUT_S = 1.5
"""How long a new session waits for the first store view; callers time
out after two seconds."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks of conditions that depend on time alone."""

CLEANUP_INTERVAL_S = 1.0
"""Interval at which unused connections are closed."""

MAX_READY_AGE_S = 4.0
"""Age of the store view above which a VM reports that it is not ready for
new callers."""

TRANSACTION_GRACE_SHARE = 0.5
"""Fraction of the grace period in which open transactions may end."""

FAILED_SESSION_GRACE_SHARE = 0.75
"""Fraction of the grace period in which callers may end the transactions
that have failed."""

STATEMENT_GRACE_SHARE = 5 / 6
"""Fraction of the grace period in which running statements may end. The
rest is for ending the lease."""

USAGE_GRACE_S = 0.3
"""Time for sending the last counts when the VM stops."""


class Proxy:
    """The statement path of one VM.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    promoter : ports.targets.Promoter
        Client that promotes the next primary of a group.
    usage_receiver : ports.targets.UsageReceiver, optional
        Client that reports the usage. Without it, or without the settings of
        usage reports, nothing is reported.
    make_usage_collection : callable, optional
        Returns the counts that are reported, for the node and its
        `network.datagrams.Peers`; see `proxy.usage.collection`.
    """

    def __init__(
        self,
        node,
        store,
        promoter,
        usage_receiver=None,
        make_usage_collection=collection.Collection,
    ):
        self._node = node
        self._view_changed = trio.Event()
        self._is_stopping = False
        self._stop_scopes = set()
        self._sessions = set()
        self.caller_accounts = caller_accounts.CallerAccounts(
            node.settings.callers, node.metrics
        )
        self._peers = datagrams.Peers(
            node.settings.peer_address, node.distances
        )
        self._view_exchange = view_exchange.ViewExchange(
            node, self._peers, load_exchange.LoadExchange(node)
        )
        self._follower = follower.StoreFollower(
            node, store, self._view_exchange, self._apply_view_change
        )
        self._lease_relay = lease_relay.LeaseRelay(
            node, store, self._peers, self._view_exchange
        )
        self._membership = membership.Membership(
            node, store, self._lease_relay, self._view_exchange.wake
        )
        self._primary_revoker = primary_revocation.PrimaryRevoker(
            node,
            store,
            acknowledgement_exchange.AcknowledgementExchange(
                node, self._peers
            ),
            lambda: self._membership.lease,
        )
        self._failover_monitor = failover.FailoverMonitor(
            node,
            store,
            promoter,
            self._view_exchange,
            suspicion_exchange.SuspicionExchange(node, self._peers),
        )
        self._target_recorder = target_recorder.TargetRecorder(node, store)
        lenders = directory.LenderDirectory(node)
        self._lender = lender.Lender(node, lenders)
        self._borrower = borrower.Borrower(node, lenders)
        node.pools.set_borrower(self._borrower)
        self._supervisor = None
        self._applied_revision = 0
        node.limits = limits.Limits(node, self._peers)
        node.position_exchange = position_exchange.PositionExchange(
            node, self._peers
        )
        self._quorum_exchange = quorum_exchange.QuorumExchange(
            node, self._peers
        )
        self.usage_collection = None
        self._usage_reporting = None
        if node.settings.usage is None:
            collection.ignore_messages(self._peers)
        else:
            self._prepare_usage(store, usage_receiver, make_usage_collection)

    def _prepare_usage(self, store, receiver, make_collection):
        """Make the parts that count requests and report them."""
        counts = make_collection(self._node, self._peers)
        self.usage_collection = counts
        self._node.usage_counter = counts.counter
        if receiver is not None:
            self._usage_reporting = reporting.UsageReporting(
                self._node, store, receiver, counts, counts.clock
            )

    @property
    def is_stopping(self):
        """Whether a graceful stop has begun."""
        return self._is_stopping

    @property
    def is_ready(self):
        """Whether the VM is ready for new callers."""
        if self.is_stopping or self._node.view.state is None:
            return False
        return self._node.view_age.is_within(clock.now(), MAX_READY_AGE_S)

    async def start(self, nursery):
        """Start the background tasks, none of whose errors ends the others."""
        self._supervisor = supervision.Supervisor(nursery)
        await self._peers.start(nursery)
        await self._lender.start(nursery)
        self._lease_relay.start(self._supervisor)
        self._node.limits.start(self._supervisor)
        self._node.position_exchange.start(self._supervisor)
        for task in (
            self._follower.run,
            self._membership.run,
            self._target_recorder.run,
            self._run_checks,
            self._close_unused_connections,
        ):
            self._supervisor.keep_running(task)
        if self.usage_collection is not None:
            self.usage_collection.start(self._supervisor)
        if self._usage_reporting is not None:
            self._usage_reporting.start(self._supervisor)

    async def open_session(self, database, key):
        """Return a new session and None, or None and the refusal."""
        if self.is_stopping:
            return None, refuse_stopping()
        if self._node.view.state is None:
            with trio.move_on_after(FIRST_VIEW_TIMEOUT_S):
                while self._node.view.state is None:
                    await self._view_changed.wait()
        new_session = session.Session(
            self._node,
            database,
            key,
            self.caller_accounts.budget.bounds.state_bytes,
        )
        refusal = new_session.check_start()
        if refusal is not None:
            return None, session.make_refusal(
                refusal, "cannot start a session"
            )
        self._sessions.add(new_session)
        return new_session, None

    async def end_session(self, ended_session):
        """Remove a session and roll its transaction back."""
        self._sessions.discard(ended_session)
        with trio.CancelScope(shield=True):
            await ended_session.close()

    @contextlib.contextmanager
    def cancel_on_stop(self):
        """Cancel the block when a graceful stop begins."""
        cancel_scope = trio.CancelScope()
        self._stop_scopes.add(cancel_scope)
        if self.is_stopping:
            cancel_scope.cancel()
        try:
            with cancel_scope:
                yield
        finally:
            self._stop_scopes.discard(cancel_scope)

    async def run_until_stopped(self):
        """Wait for SIGTERM or SIGINT, then drain sessions and leave.

        SIGHUP is only logged, so that it does not end the process; settings
        are read at start alone.
        """
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    break
                logger.info("reload", extra={"event": "reload"})
        logger.info("stopping", extra={"event": "stopping"})
        self._is_stopping = True
        self._lender.stop()
        for cancel_scope in list(self._stop_scopes):
            cancel_scope.cancel()
        await self._drain()
        logger.info("stopped", extra={"event": "stopped"})

    async def _drain(self):
        """Let the sessions end, each kind within its share of the grace."""
        began_at = trio.current_time()
        grace_s = self._node.settings.bounds.stop_grace_s
        await self._wait_sessions_ended(
            began_at + grace_s * TRANSACTION_GRACE_SHARE
        )
        await self._fail_transactions()
        await self._wait_sessions_ended(
            began_at + grace_s * FAILED_SESSION_GRACE_SHARE
        )
        await self._wait_statements_ended(
            began_at + grace_s * STATEMENT_GRACE_SHARE
        )
        with trio.move_on_at(began_at + grace_s * STATEMENT_GRACE_SHARE):
            await self._lender.wait_idle()
        if self.usage_collection is not None:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = (
                    trio.current_time() + USAGE_GRACE_S
                )
                supervision.Supervisor(nursery).start_soon(
                    self.usage_collection.finish
                )
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = (
                trio.current_time() + CHECK_INTERVAL_S * 5
            )
            if self._usage_reporting is not None:
                supervisor = supervision.Supervisor(nursery)
                supervisor.start_soon(self._usage_reporting.leave)
            await self._membership.leave()
        self._node.pools.close_idle()

    async def _wait_sessions_ended(self, deadline):
        with trio.move_on_at(deadline):
            while self._sessions:
                await trio.sleep(CHECK_INTERVAL_S)

    async def _wait_statements_ended(self, deadline):
        """Wait for running statements, until a time on trio's clock.

        Sessions outside a transaction end once they have answered.
        """
        with trio.move_on_at(deadline):
            while any(
                item.is_running or item.is_idle for item in self._sessions
            ):
                await trio.sleep(CHECK_INTERVAL_S)

    async def _fail_transactions(self):
        """Fail all open transactions at once.

        A rollback takes long at a target that does not answer.
        """
        async with trio.open_nursery() as nursery:
            for item in self._sessions:
                nursery.start_soon(item.fail_transaction)

    async def _run_checks(self):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._node.view.expire(clock.now())
            self._node.limits.refresh()
            self._node.limits.start_due_renewals(self._supervisor)
            self._quorum_exchange.start_due_request(self._supervisor)
            self._primary_revoker.stop_using_unconfirmed()
            if not self.is_stopping:
                self._failover_monitor.check(self._supervisor)

    async def _close_unused_connections(self):
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            now = clock.now()
            self._node.pools.close_unused(self._node.view, now)
            self._borrower.close_unused(now)
            if self._node.view_age.get_age(now) > self._node.max_key_age_s:
                # No key is accepted at this age, and other VMs can use
                # the limited connections of the targets.
                self._node.pools.close_idle()

    def _apply_view_change(self):
        """Apply changes of the view.

        Called after each answer of the store or the reader.
        """
        revision = self._node.view.last_change_revision
        if revision == self._applied_revision:
            return
        self._applied_revision = revision
        self._node.pools.set_limits(
            self._node.view, self._node.settings.vm.name
        )
        self._primary_revoker.stop_using_replaced(self._supervisor)
        self._view_changed.set()
        self._view_changed = trio.Event()


def refuse_stopping():
    """Return the answer to statements that arrive during a stop."""
    return session.make_refusal(statements.Outcome.OVERLOADED, "stopping")
