"""What the parts of the statement path share on one VM."""

import math

import trio

from geraniumridge._internal.decisions import freshness
from geraniumridge._internal.decisions import marks
from geraniumridge._internal.decisions import primacy
from geraniumridge._internal.decisions import support
from geraniumridge._internal.decisions import view
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.proxy import primary_usage
from geraniumridge._internal.utils import measures

KEY_EXPIRY_MARGIN_S = 0.1
"""How much sooner than they must keys stop counting without news; for
clocks that run at slightly different rates."""


DEREGISTERED_USE_SHARE = 0.6
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
        self.max_key_age_s = (
            settings.bounds.withdrawal_ms / 1000 - KEY_EXPIRY_MARGIN_S
        )
        self.boot = boot
        self.dialect = dialect
        self.freshness = freshness.Freshness()
        self.view = view.View(decode)
        self.support = support.Support()
        self.primacy = primacy.Primacy(
            settings.vm.name,
            boot,
            self.view,
            self.freshness,
            self.support,
            settings.bounds.departure_ms / 1000 * DEREGISTERED_USE_SHARE,
        )
        self.pools = pool.Pools(dialect)
        self.measures = measures.Measures()
        self.limits = None
        self.lease_until = -math.inf
        self._store_regained = trio.Event()
        self._log_positions = {}
        self._primary_usages = {}

    def note_store_regained(self):
        """Wake those who wait for the store to answer again."""
        self._store_regained.set()
        self._store_regained = trio.Event()

    async def wait_store_regained(self):
        """Wait until the store answers again after an outage."""
        await self._store_regained.wait()

    def get_log_positions(self, group):
        """Return the marks of a group."""
        return self._log_positions.setdefault(group, marks.Marks())

    def get_lead_term(self, group):
        """Return the term of a group's lead, 0 before the first change."""
        lead = self.view.get_lead(group)
        return lead.term if lead else 0

    def get_primary_usage(self, group):
        """Return the guard of a group's primary."""
        found = self._primary_usages.get(group)
        if found is None:
            found = primary_usage.PrimaryUsage()
            self._primary_usages[group] = found
        return found

    def get_region(self, domain):
        """Return a failure domain's region."""
        return self.settings.regions.get(domain, "")
