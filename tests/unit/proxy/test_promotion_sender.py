"""Records of the orders that a failover sends."""

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import node
from geraniumridge._internal.proxy import promotion_sender

LEAD_KEY = fleet.make_lead_key("ledger")
ORDER_KEY = fleet.make_order_key("ledger")
FENCE = 7


class FakeStore:
    """Store that leaves deletes unanswered and carries them out later."""

    def __init__(self):
        self.revisions = {LEAD_KEY: FENCE}
        self._revision = 100
        self._delayed = []

    async def commit(self, expected, writes=(), deletes=()):
        """Carry out writes at once; delay a transaction that deletes."""
        if deletes:
            self._delayed.append((expected, deletes))
            raise exceptions.PlatformUnavailableError("no answer")
        self._check(expected)
        self._revision += 1
        for write in writes:
            self.revisions[write.key] = self._revision
        return self._revision

    def carry_out_delayed(self):
        """Carry out the delayed transactions whose conditions hold."""
        for expected, deletes in self._delayed:
            try:
                self._check(expected)
            except exceptions.ConflictError:
                continue
            for key in deletes:
                self.revisions.pop(key, None)

    def _check(self, expected):
        for key, revision in expected.items():
            if self.revisions.get(key, 0) != revision:
                raise exceptions.ConflictError(key)


class FakePromoter:
    """Promoter that refuses the first order and takes the next ones."""

    def __init__(self):
        self.sent_count = 0

    async def connect(self):
        """Return the promoter itself as the open call."""
        return self

    async def send(self, group, order):
        """Refuse the first order."""
        self.sent_count += 1
        if self.sent_count == 1:
            raise exceptions.TargetRefusedError("not running")

    async def close(self):
        """Do nothing."""


def make_node():
    settings = proxy_settings.ProxySettings(
        vm=proxy_settings.VmSettings("vm-1", "north", "127.0.0.1"),
        listen=proxy_settings.ListenSettings("", "", 1, 1),
        platform=proxy_settings.PlatformSettings("", ""),
    )
    return node.Node(settings, "boot", lambda key, value: value, None)


def test_late_removal_of_a_refused_order_keeps_the_record_of_the_next():
    """Guards against a takeover that does not see an order in doubt."""
    store = FakeStore()

    async def main():
        sender = promotion_sender.PromotionSender(
            make_node(), store, FakePromoter(), "ledger", FENCE
        )
        for target in ("i-1", "i-2"):
            async with trio.open_nursery() as nursery:
                sender.start(nursery, target, lambda: True)

    trio.run(main)
    store.carry_out_delayed()
    assert ORDER_KEY in store.revisions
