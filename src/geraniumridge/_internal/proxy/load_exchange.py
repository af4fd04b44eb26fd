"""Exchange of the loads of targets between the VMs of a failure domain.

It has no messages of its own: reports travel on the queries for changes of
the store, sums on their answers.
"""

import logging
import math

from geraniumridge._internal.decisions import load
from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal.decisions.placement import choice
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import occupancies
from geraniumridge._internal.network import streams
from geraniumridge._internal.utils import clock

logger = logging.getLogger(__name__)

MAX_REPORTS_PER_S = 200
"""Reports that a domain's reader gets in a second at most. The VMs of a
larger domain report less often."""

MAX_CALLS_PER_SLOT = 16
"""Most calls per slot of a target that one VM's report counts."""

MAX_REPORT_INTERVAL_S = 1.0
"""Longest interval between reports, well below the age from which they are
dropped."""

LOG_INTERVAL_S = 10.0
"""Least time between log lines about refused reports. A VM with a fault
sends one every 0.2 s."""


class LoadExchange:
    """Reports and sums of the loads of targets.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    """

    def __init__(self, node):
        self._node = node
        self._neighbours = {}
        self._roster_version = None
        self._reported_at = -math.inf
        self._logged_at = -math.inf

    def make_report(self):
        """Return the occupancies that a query for changes carries.

        Only targets of groups whose reads are placed by draw are reported.
        Queries in between carry none.
        """
        view = self._node.view
        now = clock.now()
        neighbour_count = len(self._get_neighbours())
        interval_s = min(
            MAX_REPORT_INTERVAL_S, neighbour_count / MAX_REPORTS_PER_S
        )
        if now - self._reported_at < interval_s:
            return []
        self._reported_at = now
        is_needed = {}
        found = []
        for target_id, pool in self._node.pools.items():
            target = view.targets.get(target_id)
            if target is None:
                continue
            if target.group not in is_needed:
                is_needed[target.group] = self._is_draw_needed(target.group)
            if is_needed[target.group]:
                calls = pool.load.get_occupancy(now)
                found.append(
                    load_reports.Occupancy(
                        target_id, calls, load.OCCUPANCY_WINDOW_S
                    )
                )
        return occupancies.encode(load_reports.select_reported(found))

    def answer_query(self, query, sender):
        """Note a query's report; return the occupancies for its answer.

        Parameters
        ----------
        query : message
            The query for changes.
        sender : tuple
            Address of the VM that sent it.
        """
        vm = self._get_neighbours().get(tuple(sender))
        if vm is None or not query.occupancies or query.last_revision:
            return []
        reported = self._decode(
            query.occupancies, load_reports.MAX_REPORTED_TARGETS, vm
        )
        if reported is None:
            return []
        now = clock.now()
        view = self._node.view
        reported = [
            self._limit_calls(item)
            for item in reported
            if item.target in view.targets
        ]
        self._node.load_reports.note_report(vm, reported, now)
        groups = dict.fromkeys(
            view.targets[item.target].group for item in reported
        )
        names = load_reports.select_summed(
            [target.id for target in view.list_group(group)]
            for group in groups
        )
        own = {name: self._get_own(name, now) for name in names}
        return occupancies.encode(
            self._node.load_reports.make_answer(vm, own, now)
        )

    def note_answer(self, answer, vm):
        """Note the sums that a neighbour's answer carries."""
        found = self._decode(
            answer.occupancies, load_reports.MAX_SUMMED_TARGETS, vm
        )
        if found:
            self._node.load_reports.note_answer(found, clock.now())

    def _limit_calls(self, item):
        """Return an occupancy without more calls than a target may hold.

        A VM with a fault could otherwise make its targets seem full to all.
        """
        target = self._node.view.targets[item.target]
        most = MAX_CALLS_PER_SLOT * max(1, target.slots)
        return item._replace(calls=min(item.calls, most))

    def _is_draw_needed(self, group):
        view = self._node.view
        return choice.is_draw_needed(len(view.members), view.list_group(group))

    def _get_own(self, target_id, now):
        pool = self._node.pools.find(target_id)
        return 0.0 if pool is None else pool.load.get_occupancy(now)

    def _decode(self, items, max_count, vm):
        """Return the occupancies of a message, None if they are refused."""
        try:
            return occupancies.decode(items, max_count)
        except exceptions.ProtocolError as error:
            self._node.metrics.count("load_reports_refused")
            self._log_refused(vm, error)
            return None

    def _log_refused(self, vm, error):
        now = clock.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.warning(
            "loads from a neighbour refused",
            extra={
                "event": "load_report_refused",
                "from": vm,
                "why": str(error),
            },
        )

    def _get_neighbours(self):
        """Return the other VMs of the domain by address."""
        view = self._node.view
        if view.roster.change_count != self._roster_version:
            self._roster_version = view.roster.change_count
            own = self._node.settings.vm
            self._neighbours = {}
            for vm, member in view.members.items():
                if vm == own.name or member.domain != own.domain:
                    continue
                try:
                    found = streams.split_address(member.address)
                except exceptions.NotSentError:
                    continue
                self._neighbours[found] = vm
            own_count = len(self._neighbours) + 1
            unseen_count = max(0, len(view.members) - own_count)
            self._node.load_reports.unseen_ratio = unseen_count / own_count
        return self._neighbours
