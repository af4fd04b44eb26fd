"""Directory of the cells of all failure domains.

At intervals the leader of a cell exchanges reports with members of other
cells. Each names the versions that it has, so that only newer reports are
sent. Members fetch the reports from their leader when the version of its
directory changes.
"""

import logging
import random

import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import membership
from geraniumridge._internal.network import wire

logger = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 1.0
"""Timeout of one exchange of reports."""

VERSIONS_PER_VIEW = 1_000_000
"""Report versions for each view number, so that reports of a new leader
have higher versions than those of its predecessor."""

DOMAINS_PER_EXCHANGE = 2
"""Other domains that a leader contacts in each interval."""


@registry.PLUGINS.register("directory")
class Directory(kernel.Plugin):
    """Newest known report of each cell."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        self._random = random.Random()
        self._reports = {}
        self._views = {}
        self._directory_version = 0
        self._member_config_versions = {}
        self._contact_at = trio.current_time()
        self._nursery = None

    @property
    def domains(self):
        """Domains from which a report is known."""
        return list(self._reports)

    @property
    def contact_age_s(self):
        """Seconds since the last contact with the platform or a domain."""
        return trio.current_time() - self._contact_at

    def record_contact(self, age_s=0.0):
        """Record a contact with the platform or another domain.

        Parameters
        ----------
        age_s : float, optional
            Seconds that have passed since the contact.
        """
        contact_at = trio.current_time() - age_s
        self._contact_at = max(self._contact_at, contact_at)

    def find_view(self, domain):
        """Return the newest known `View` of a domain's cell, or None."""
        return self._views.get(domain)

    def get_confirmed_version(self, domain):
        """Return the configuration version that all VMs of a domain hold.

        It is 0 if the domain is unknown.
        """
        report = self._reports.get(domain)
        return report.confirmed_version if report else 0

    def find_member_with_newer_config(self):
        """Return a `Member` whose cell has a newer configuration, or None."""
        own_version = self._kernel.get("configuration").version
        for domain, report in self._reports.items():
            if report.config_version > own_version and domain in self._views:
                members = self._views[domain].members
                return self._random.choice(members) if members else None
        return None

    async def start(self, nursery):
        """Start to exchange reports."""
        self._nursery = nursery
        self._configuration = self._kernel.get("configuration")
        self._membership = self._kernel.get("membership")
        self._peers = self._kernel.get("peers")
        self._peers.handle(wire.messages.Exchange, self._answer_exchange)
        self._membership.add_heartbeat_extension(self)
        nursery.start_soon(self._run_exchanges)

    def extend_heartbeat(self, message):
        """Add this VM's versions to a heartbeat."""
        message.config_version = self._configuration.version
        message.directory_version = self._directory_version

    def read_heartbeat(self, message):
        """Record a member's configuration version."""
        name = message.sender.name
        self._member_config_versions[name] = message.config_version or 0

    def extend_answer(self, heartbeat, message):
        """Add the directory's version and last contact to an answer."""
        message.directory_version = self._directory_version
        message.contact_age_s = self.contact_age_s

    def read_answer(self, message, sent_at, address):
        """Record the leader's last contact; fetch if its directory differs."""
        age_s = (message.contact_age_s or 0.0) + (
            trio.current_time() - sent_at
        )
        self.record_contact(age_s)
        if (message.directory_version or 0) != self._directory_version:
            version = message.directory_version
            self._nursery.start_soon(self._fetch_from_leader, address, version)

    async def _fetch_from_leader(self, address, version):
        if await self._exchange_reports(address):
            self._directory_version = version

    async def _run_exchanges(self):
        while True:
            self._update_own_report()
            if self._membership.cell.is_leader:
                for address in self._choose_addresses():
                    self._nursery.start_soon(
                        self._exchange_with_domain, address
                    )
            await trio.sleep(self._settings.cell.exchange_s)

    async def _exchange_with_domain(self, address):
        if await self._exchange_reports(address):
            self.record_contact()

    def _choose_addresses(self):
        """Yield an address in each of a few random other domains."""
        own_domain = self._settings.vm.domain
        addresses_by_domain = {
            domain: [member.address for member in view.members]
            for domain, view in self._views.items()
        }
        for domain, members in self._membership.listed_addresses.items():
            addresses_by_domain.setdefault(domain, []).extend(members.values())
        others = [
            domain for domain in addresses_by_domain if domain != own_domain
        ]
        self._random.shuffle(others)
        for domain in others[:DOMAINS_PER_EXCHANGE]:
            if addresses_by_domain[domain]:
                yield self._random.choice(addresses_by_domain[domain])

    def _update_own_report(self):
        """Update the report of this VM's cell if this VM is its leader."""
        view = self._membership.cell.view
        if not self._membership.cell.is_leader:
            return
        domain = self._settings.vm.domain
        report = wire.messages.CellReport(
            domain=domain,
            version=0,
            view=wire.pack(view),
            config_version=self._configuration.version,
            confirmed_version=self._get_own_confirmed_version(view),
        )
        previous = self._reports.get(domain)
        if previous is not None:
            report.version = previous.version
            if report == previous:
                return
        first_version = view.number * VERSIONS_PER_VIEW
        report.version = max(first_version, report.version) + 1
        self._store_reports([report])

    def _get_own_confirmed_version(self, view):
        own_version = self._configuration.version
        others = [
            self._member_config_versions.get(name, 0)
            for name in view.names
            if name != self._settings.vm.name
        ]
        return min([own_version, *others])

    async def _exchange_reports(self, address):
        message = wire.messages.Exchange(
            domain=self._settings.vm.domain,
            marks=self._list_report_versions(),
            reports=[
                report
                for domain, report in self._reports.items()
                if domain == self._settings.vm.domain
            ],
        )
        try:
            answer = await self._peers.call(
                address, message, EXCHANGE_TIMEOUT_S
            )
        except (exceptions.NetworkError, exceptions.RequestError) as error:
            logger.debug(
                "exchange of reports failed", extra={"reason": str(error)}
            )
            return False
        self._store_reports(answer.reports or [])
        return True

    async def _answer_exchange(self, message):
        if message.domain != self._settings.vm.domain:
            self.record_contact()
        self._store_reports(message.reports or [])
        known_versions = {
            item.domain: item.version for item in message.marks or []
        }
        newer_reports = [
            report
            for domain, report in self._reports.items()
            if report.version > known_versions.get(domain, 0)
        ]
        return wire.messages.Exchange(
            domain=self._settings.vm.domain, marks=[], reports=newer_reports
        )

    def _list_report_versions(self):
        return [
            wire.messages.CellMark(domain=domain, version=report.version)
            for domain, report in self._reports.items()
        ]

    def _store_reports(self, reports):
        for report in reports:
            known = self._reports.get(report.domain)
            if known is not None and known.version >= report.version:
                continue
            self._reports[report.domain] = report
            view = wire.unpack(membership.View, report.view)
            self._views[report.domain] = view
            if self._membership.cell.is_leader:
                self._directory_version += 1
