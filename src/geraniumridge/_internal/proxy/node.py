"""What the parts of the statement path share on one VM."""

import math

import trio

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import marks
from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.decisions import view
from geraniumridge._internal.proxy import guard
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.utils import measures

KEY_MARGIN_S = 0.1
"""How much sooner than they must keys stop counting without news; for
clocks that run at slightly different rates."""


GONE_SHARE = 0.6
"""Part of the bound on departed targets for which a primary is used on
after its entry vanished."""


class Node:
    """State and decisions of one VM.

    Parameters
    ----------
    settings : models.proxy_settings.ProxySettings
        Identity and bounds.
    boot : str
        Identity of this run of the daemon.
    decode : callable
        From a store's key and value to a typed record.
    dialect : ports.targets.Dialect
        How targets are spoken to.
    """

    def __init__(self, settings, boot, decode, dialect):
        self.settings = settings
        self.key_age_s = settings.bounds.withdrawal_ms / 1000 - KEY_MARGIN_S
        self.boot = boot
        self.dialect = dialect
        self.freshness = freshness.ViewAge()
        self.view = view.View(decode)
        self.support = support.QuorumConfirmations()
        self.primacy = primacy.PrimaryResolver(
            settings.vm.name,
            boot,
            self.view,
            self.freshness,
            self.support,
            settings.bounds.departure_ms / 1000 * GONE_SHARE,
        )
        self.pools = pool.Pools(dialect)
        self.measures = measures.Measures()
        self.limits = None
        self.lease_until = -math.inf
        self._returned = trio.Event()
        self._marks = {}
        self._guards = {}

    def note_return(self):
        """Wake those who wait for the store to answer again."""
        self._returned.set()
        self._returned = trio.Event()

    async def wait_return(self):
        """Wait until the store answers again after an outage."""
        await self._returned.wait()

    def get_marks(self, group):
        """Return the marks of a group."""
        return self._marks.setdefault(group, marks.PositionHistory())

    def get_lead_term(self, group):
        """Return the term of a group's lead, 0 before the first change."""
        lead = self.view.get_lead(group)
        return lead.term if lead else 0

    def get_guard(self, group):
        """Return the guard of a group's primary."""
        found = self._guards.get(group)
        if found is None:
            found = guard.PrimaryGuard()
            self._guards[group] = found
        return found

    def get_region(self, domain):
        """Return a failure domain's region."""
        return self.settings.regions.get(domain, "")
