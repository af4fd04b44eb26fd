"""Follows the platform's store: one watch keeps the view current."""

import logging

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.utils import backoff
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

WATCH_S = 1.0
"""How long a watch waits; its answer renews the knowledge's age."""

RETRY_S = 0.1
"""First pause after a call that failed; every call is priced."""

MAX_RETRY_S = 0.5
"""Longest pause; a store that is back is found so soon."""

BATCH_S = 0.02
"""Pause after changes, so that a burst of them takes few calls."""

OUTAGE_S = 1.5
"""Knowledge older than this counts as an outage of the store."""


class Follower:
    """Keeps a node's view and its freshness.

    Parameters
    ----------
    node : proxy.node.Node
        Whose view it is.
    store : ports.store.Store
        The platform's store.
    on_change : callable
        Called after each answer.
    """

    def __init__(self, node, store, on_change):
        self._node = node
        self._store = store
        self._on_change = on_change
        self._is_listed = False
        self._is_lost = False
        self._backoff = backoff.Backoff(RETRY_S, MAX_RETRY_S)

    async def run(self):
        """Follow the store for good."""
        while True:
            try:
                pause_s = await self._step()
            except exceptions.HistoryLostError:
                self._is_listed = False
                logger.info("history lost", extra={"event": "store_relist"})
                continue
            except exceptions.PlatformError as error:
                self._note_lost(error)
                pause_s = self._backoff.next_pause()
            if pause_s:
                await trio.sleep(pause_s)

    async def _step(self):
        """Ask once; returns the pause before the next question."""
        sent_at = clock.now()
        view = self._node.view
        if not self._is_listed:
            listing = await self._store.list("")
            self._note_answer()
            known_until = self._node.freshness.proved_at
            if not view.replace(clock.now(), listing, known_until):
                return RETRY_S
            self._is_listed = True
            self._finish(sent_at)
            return 0.0
        changes = await self._store.watch("", view.revision, WATCH_S)
        self._note_answer()
        view.apply(clock.now(), changes)
        self._finish(sent_at)
        return BATCH_S if changes.items else 0.0

    def _note_answer(self):
        """Note an answer before it is taken in."""
        now = clock.now()
        age_s = self._node.freshness.get_age(now)
        if self._is_lost or age_s > WATCH_S + OUTAGE_S:
            self._node.view.note_return(now)
        if self._is_lost:
            self._is_lost = False
            self._node.note_return()
            logger.info("store regained", extra={"event": "store_regained"})

    def _note_lost(self, error):
        if not self._is_lost:
            self._is_lost = True
            logger.warning(
                "store lost", extra={"event": "store_lost", "why": str(error)}
            )

    def _finish(self, sent_at):
        self._backoff.reset()
        self._node.freshness.confirm(sent_at)
        self._on_change()
