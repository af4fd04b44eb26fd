"""State that the parts of the statement path share on one VM."""

import math

import trio

from geraniumridge._internal.decisions import acknowledged_commits
from geraniumridge._internal.decisions.distance import estimates
from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.decisions import primary_resolver
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.proxy import primary_usage
from geraniumridge._internal.utils import metrics

KEY_EXPIRY_MARGIN_S = 0.1
"""Time before the withdrawal bound at which API keys are no longer
accepted from an old store view; allows for clock drift."""

DRAINING_MARGIN_S = 1.5
"""Time before the bound on departed targets at which a primary that drains
gets no new statements; covers the age of the store view and a wait for a
connection."""

DEREGISTERED_USE_SHARE = 0.6
"""Fraction of the bound on departed targets during which a primary is
still used after its entry disappeared from the store."""


class Node:
    """Shared state and decisions of one VM.

    Parameters
    ----------
    settings : models.proxy_settings.ProxySettings
        Settings of the VM.
    boot : str
        Identity of this run of the daemon.
    decode : callable
        Function from a key and value of the store to a typed record.
    dialect : ports.targets.Dialect
        Protocol of the targets.

    Notes
    -----
    `limits` and `position_exchange` are set by `proxy.daemon.Proxy`, and
    `usage_counter` where usage is reported; it is None otherwise.
    `lease_until` is the clock time in seconds up to which the VM's lease
    lasts at least, and `is_registration_written` is whether the store has
    accepted the VM's registration under it.
    """

    def __init__(self, settings, boot, decode, dialect):
        self.settings = settings
        self.max_key_age_s = (
            settings.bounds.withdrawal_ms / 1000 - KEY_EXPIRY_MARGIN_S
        )
        self.max_draining_s = max(
            0.0, settings.bounds.departure_ms / 1000 - DRAINING_MARGIN_S
        )
        self.boot = boot
        self.dialect = dialect
        self.view_age = view_age.ViewAge()
        self.view = view.View(decode)
        self.confirmations = quorum.QuorumConfirmations()
        self.acknowledgements = succession.Acknowledgements()
        self.primary_resolver = primary_resolver.PrimaryResolver(
            settings.vm.name,
            boot,
            self.view,
            self.view_age,
            self.confirmations,
            settings.bounds.departure_ms / 1000 * DEREGISTERED_USE_SHARE,
        )
        self.distances = estimates.Distances(
            settings.vm.domain, settings.regions, self._find_domain
        )
        self.load_reports = load_reports.LoadReports()
        self.metrics = metrics.MetricsRegistry()
        self.pools = pool.ConnectionPools(
            dialect, self.distances, self.metrics
        )
        self.limits = None
        self.position_exchange = None
        self.usage_counter = None
        self.lease_until = -math.inf
        self.is_registration_written = False
        self._store_regained = trio.Event()
        self._log_positions = {}
        self._acknowledged_commits = {}
        self._domains = set()
        self._domains_version = None
        self._primary_usages = {}

    @property
    def run_id(self):
        """Identity of this run of the daemon, ``VM/boot``."""
        return f"{self.settings.vm.name}/{self.boot}"

    @property
    def is_registration_unseen(self):
        """Whether the view does not show this VM's registration yet."""
        is_seen = self.primary_resolver.is_self_registered()
        return self.is_registration_written and not is_seen

    def note_store_regained(self):
        """Wake the tasks that wait for the store to answer again."""
        self._store_regained.set()
        self._store_regained = trio.Event()

    async def wait_store_regained(self):
        """Wait until the store answers again after an outage."""
        await self._store_regained.wait()

    def get_log_positions(self, group):
        """Return the known log positions of a group's primary."""
        return self._log_positions.setdefault(
            group, position_history.PositionHistory()
        )

    def get_acknowledged_commits(self, group):
        """Return the bound on a group's commits that this VM passed on."""
        return self._acknowledged_commits.setdefault(
            group, acknowledged_commits.AcknowledgedCommits()
        )

    def make_commit_bound(self, group):
        """Return the `fleet.CommitBound` of this run, None if unknown."""
        commits = self.get_acknowledged_commits(group)
        return commits.make_bound(self.boot, self.view)

    def get_primary_usage(self, group):
        """Return this VM's use of a group's primary."""
        found = self._primary_usages.get(group)
        if found is None:
            found = primary_usage.PrimaryUsage()
            self._primary_usages[group] = found
        return found

    def get_longest_round_trip_s(self):
        """Return the longest round trip to VMs of other regions, else 0."""
        version = self.view.roster.change_count
        if version != self._domains_version:
            self._domains_version = version
            self._domains = {
                item.domain for item in self.view.members.values()
            }
        return self.distances.get_longest_s(self._domains)

    def _find_domain(self, vm):
        member = self.view.members.get(vm)
        return None if member is None else member.domain

    def get_region(self, domain):
        """Return a failure domain's region, "" if it has none."""
        return self.settings.regions.get(domain, "")
