"""Exchange between VMs of changes of the store, and of their views' ages.

A neighbour is another VM of the same failure domain.
"""

import collections
import logging
import math
import typing

import trio

from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import change_batches
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import streams
from geraniumridge._internal.ports import store
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.05
"""Timeout of a query, which stays within one failure domain."""

MAX_PART_BYTES = 8_192
"""Bytes of a batch of changes in one datagram."""

PART_ATTEMPTS = 3
"""Queries for a further part of a batch; datagrams may be lost."""

MAX_CACHED_BATCHES = 16
"""Batches that are kept, since many VMs ask for the same changes."""

RECENT_ANSWER_S = 1.5
"""A neighbour that answered within this time counts as reachable, and
will notify this VM of changes."""


class ViewStatus(typing.NamedTuple):
    """State of a neighbour's store view.

    `changes` are those that this VM's view lacks, None if the neighbour does
    not have them all. `age_s` is the age of its view in seconds.
    """

    changes: store.Changes | None
    age_s: float


class ViewExchange:
    """Queries and notifications about changes in the store.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    peers : network.datagrams.Peers
        Carries the messages.
    loads : proxy.load_exchange.LoadExchange, optional
        Loads of targets that the messages carry too.
    """

    def __init__(self, node, peers, loads=None):
        self._node = node
        self._peers = peers
        self._loads = loads
        self._notified = trio.Event()
        self._notified_by = None
        self._confirmed_by = None
        self._answered_at = -math.inf
        self._batches = collections.OrderedDict()
        peers.handle(datagrams.messages.ChangesQuery, self._answer_query)
        peers.handle(
            datagrams.messages.ChangeNotification, self._note_notification
        )

    async def query(self, member):
        """Query a neighbour's view status.

        Returns
        -------
        ViewStatus or None
            None without a whole answer in time.
        """
        revision = self._node.view.revision
        first = await self._query_part(member, revision)
        if first is None:
            return None
        self._answered_at = clock.now()
        if self._loads is not None:
            self._loads.note_answer(first, member.vm)
        age_s = first.age_ms / 1000
        if first.total < 0:
            return ViewStatus(None, age_s)
        if first.total == 0:
            return ViewStatus(store.Changes((), first.revision), age_s)
        data = await self._query_rest(member, revision, first)
        if data is None:
            return None
        try:
            items = change_batches.decode_batch(data)
        except exceptions.ProtocolError as error:
            logger.warning(
                "changes from a neighbour cannot be decoded",
                extra={
                    "event": "changes_unreadable",
                    "from": member.vm,
                    "why": str(error),
                },
            )
            return ViewStatus(None, age_s)
        return ViewStatus(store.Changes(items, first.revision), age_s)

    async def _query_part(self, member, revision, until=0, offset=0):
        query = datagrams.messages.ChangesQuery(
            revision=revision, last_revision=until, offset=offset
        )
        if self._loads is not None and not until:
            query.occupancies = self._loads.make_report()
        return await self._peers.query(query, member, ANSWER_TIMEOUT_S)

    async def _query_rest(self, member, revision, first):
        """Return a whole batch by its first part, None if parts are lost."""
        data = _get_data(first)
        attempts_left = PART_ATTEMPTS
        while len(data) < first.total:
            part = await self._query_part(
                member, revision, first.revision, len(data)
            )
            if part is None:
                attempts_left -= 1
                if not attempts_left:
                    return None
                continue
            if part.total != first.total or not part.data:
                return None
            data += _get_data(part)
        return data

    async def notify_domain(self):
        """Notify the VMs of this domain of a change in the store."""
        domain = self._node.settings.vm.domain
        await self._notify(
            member for member in self._list_others() if member.domain == domain
        )

    async def notify_all(self):
        """Notify all VMs, including this one, of a change in the store."""
        self.wake()
        await self._notify(self._list_others())

    def wake(self):
        """End the wait for the next change notification."""
        self._notified.set()

    async def wait_notification(self):
        """Wait for the next change notification.

        Returns
        -------
        str or None
            The neighbour that sent it, None if another VM did or `wake` was
            called.
        """
        await self._notified.wait()
        self._notified = trio.Event()
        sender, self._notified_by = self._notified_by, None
        return sender

    def note_confirmed(self, vm):
        """Record the neighbour that has confirmed the view, None if the store.

        Its own queries get no confirmation from this VM.
        """
        self._confirmed_by = vm

    def find_confirming_neighbour(self):
        """Return the member that has confirmed the view, None if the store."""
        return self._node.view.members.get(self._confirmed_by)

    def has_recent_answer(self, now):
        """Return whether a neighbour has answered a query recently.

        The age of its store view does not matter.
        """
        return now - self._answered_at <= RECENT_ANSWER_S

    def _list_others(self):
        return self._node.view.roster.list_others(self._node.settings.vm.name)

    async def _notify(self, members):
        notification = datagrams.messages.ChangeNotification(
            self._node.settings.vm.name
        )
        await self._peers.send_to_members(notification, members)

    async def _answer_query(self, query, sender):
        age_s = self._node.view_age.get_age(clock.now())
        if age_s >= primary_resolver.MAX_VIEW_AGE_S:
            return
        if self._is_confirmed_by(sender):
            # Two VMs that confirm each other's views would not read the store.
            age_s = primary_resolver.MAX_VIEW_AGE_S
        until = query.last_revision or self._node.view.revision
        batch = self._get_batch(query.revision, until)
        offset = max(0, query.offset)
        answer = datagrams.messages.ChangesAnswer(
            number=query.number,
            revision=until,
            age_ms=math.ceil(age_s * 1000),
            total=-1 if batch is None else len(batch),
            data=(batch or b"")[offset : offset + MAX_PART_BYTES],
        )
        if self._loads is not None:
            answer.occupancies = self._loads.answer_query(query, sender)
        await self._peers.send(answer, sender)

    def _is_confirmed_by(self, address):
        member = self.find_confirming_neighbour()
        if member is None:
            return False
        return streams.split_address(member.address) == tuple(address)

    def _get_batch(self, revision, until):
        """Return the batch of changes between two revisions, or None.

        A VM that asks for the rest of a batch needs the one that it began.
        """
        batch = self._batches.get((revision, until))
        view = self._node.view
        if batch is not None or until != view.revision:
            return batch
        items = view.change_log.list_after(revision)
        if items is None:
            return None
        batch = change_batches.encode_batch(items) if items else b""
        self._batches[revision, until] = batch
        if len(self._batches) > MAX_CACHED_BATCHES:
            self._batches.popitem(last=False)
        return batch

    async def _note_notification(self, notification, sender):
        member = self._node.view.members.get(notification.vm)
        domain = self._node.settings.vm.domain
        if member is not None and member.domain == domain:
            self._notified_by = member.vm
        self.wake()


def _get_data(part):
    """Return the bytes of a part; the decoder makes text of some."""
    data = part.data
    return data.encode() if isinstance(data, str) else data
