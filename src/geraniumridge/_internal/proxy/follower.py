"""Keeps the view and its age current.

One VM of each failure domain reads the store often, beside a watch that
tells it of changes; the others ask it whether anything has changed and
read only then, or where its answers are missing or too old.
"""

import logging
import math

import trio

from geraniumridge._internal.decisions import reading
from geraniumridge._internal import exceptions
from geraniumridge._internal.utils import backoff
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

READ_S = 0.5
"""Time between readings of the store by a domain's reader. They prove
the age of its knowledge, which a watch does only when it ends."""

WATCH_S = 20.0
"""How long the reader's watch waits for a change."""

ASK_S = 0.2
"""Time between questions to the reader."""

RETRY_S = 0.1
"""First pause after a call that failed; every call is priced."""

MAX_RETRY_S = 0.5
"""Longest pause; a store that is back is found so soon."""

ALIKE_S = 1.0
"""Pause after a call that failed where the domain's reader, which
tells when it succeeds, has no news either."""

USEFUL_AGE_S = 0.9
"""Older knowledge of a neighbour is no help. A reading, its repetition
after a failure and a question fit in."""

BATCH_S = 0.1
"""Pause after changes, so that a burst of them takes few calls."""

OUTAGE_S = 2.5
"""Knowledge older than this counts as an outage of the store."""


class Follower:
    """Keeps a node's view and its freshness.

    Parameters
    ----------
    node : proxy.node.Node
        Whose view it is.
    store : ports.store.Store
        The platform's store.
    news : proxy.news.News
        Exchanges with the other VMs.
    on_change : callable
        Called after each answer.
    """

    def __init__(self, node, store, news, on_change):
        self._node = node
        self._store = store
        self._news = news
        self._on_change = on_change
        self._listed = trio.Event()
        self._is_lost = False
        self._backoff = backoff.Backoff(RETRY_S, MAX_RETRY_S)
        vm = node.settings.vm
        self._readers = reading.ReaderSelector(vm.name, vm.domain)

    async def run(self):
        """Follow the store for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_watching)
            while True:
                pause_s = await self._step()
                with trio.move_on_after(pause_s):
                    await self._news.wait_hint()
                    self._readers.clear_avoided()

    async def _keep_watching(self):
        """Learn of changes at once while this VM is the reader."""
        await self._listed.wait()
        while True:
            if self._is_lost or self._find_reader() is not None:
                await trio.sleep(READ_S)
                continue
            try:
                await self._watch()
            except exceptions.PlatformError as error:
                # The readings find out whether the store is lost.
                logger.info(
                    "watch ended",
                    extra={"event": "watch_ended", "why": str(error)},
                )
                await trio.sleep(READ_S)

    async def _watch(self):
        revision = self._node.view.revision
        changes = await self._store.watch("", revision, WATCH_S)
        await self._take(changes)
        await trio.sleep(BATCH_S)

    async def _step(self):
        """Ask a neighbour or read; returns the pause before the next."""
        reader = self._find_reader()
        try:
            if not self._listed.is_set():
                return await self._list()
            if reader is not None:
                return await self._ask(reader)
            return await self._read()
        except exceptions.HistoryLostError:
            self._listed = trio.Event()
            logger.info("history lost", extra={"event": "store_relist"})
            return 0.0
        except exceptions.PlatformError as error:
            return self._note_lost(error)

    def _find_reader(self):
        """Return the member to ask, None where this VM reads itself."""
        return self._readers.find_reader(self._node.view.members, clock.now())

    async def _ask(self, reader):
        """Ask a neighbour whether the own view is still complete."""
        sent_at = clock.now()
        heard = await self._news.ask(reader)
        if heard is None or heard.age_s > USEFUL_AGE_S:
            self._readers.avoid(reader.vm, clock.now())
            return 0.0
        if heard.changed > self._node.view.revision:
            return await self._read()
        self._note_answer()
        # The age was true at the earliest when the question was sent.
        self._finish(sent_at - heard.age_s)
        return max(0.0, sent_at + ASK_S - clock.now())

    async def _list(self):
        """Read all of the store."""
        listing = await self._store.list("")
        self._note_answer()
        known_until = self._node.freshness.confirmed_at
        if not self._node.view.replace(clock.now(), listing, known_until):
            return RETRY_S
        self._listed.set()
        # Its pages are no picture of one moment; the changes since the
        # first one make it one.
        return await self._read()

    async def _read(self):
        """Read what has changed, without waiting for a change."""
        sent_at = clock.now()
        revision = self._node.view.revision
        changes = await self._store.read_changes("", revision)
        await self._take(changes, sent_at)
        if changes.items:
            return BATCH_S
        return max(0.0, sent_at + READ_S - clock.now())

    async def _take(self, changes, sent_at=-math.inf):
        """Take in changes; neighbours are told of what is urgent."""
        was_lost = self._note_answer()
        view = self._node.view
        revision = view.revision
        view.apply(clock.now(), changes)
        self._finish(sent_at)
        has_new_leads = changes.items and view.list_groups_with_newer_lead(
            revision
        )
        if was_lost or (has_new_leads and self._find_reader() is None):
            await self._news.tell_domain()

    def _note_answer(self):
        """Note an answer before it is taken in; tells of an outage."""
        now = clock.now()
        was_lost = self._is_lost
        if was_lost or self._node.freshness.get_age(now) > OUTAGE_S:
            self._node.view.note_return(now)
        if was_lost:
            self._is_lost = False
            self._node.note_return()
            logger.info("store regained", extra={"event": "store_regained"})
        return was_lost

    def _note_lost(self, error):
        """Note a call that failed; returns the pause after it."""
        if not self._is_lost:
            self._is_lost = True
            logger.warning(
                "store lost", extra={"event": "store_lost", "why": str(error)}
            )
        now = clock.now()
        self._readers.avoid(self._node.settings.vm.name, now)
        if self._news.is_heard(now):
            return ALIKE_S
        return self._backoff.next_delay_s()

    def _finish(self, proved_at):
        self._backoff.reset()
        self._node.freshness.confirm(proved_at)
        self._on_change()
