"""Collection of the counts of all VMs at the reporter.

Each VM sends its counts to the collector of its domain, and the collectors
send the sums to the reporter.
"""

import itertools
import logging
import math
import time

import trio

from geraniumridge._internal.decisions.usage import clock as clocks
from geraniumridge._internal.decisions.usage import completeness
from geraniumridge._internal.decisions.usage import counter
from geraniumridge._internal.decisions.usage import member_runs
from geraniumridge._internal.decisions.usage import merging
from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.decisions.usage import teams
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import usage_parts
from geraniumridge._internal.proxy.usage import time_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

logger = logging.getLogger(__name__)

COLLECTOR_KEY = "usage/collector"

SEND_INTERVAL_S = 0.5
"""Interval between a VM's messages to its collector; a VM that is killed
loses what it counted since the last. `merging.KILLED_GAP_S` is longer."""

FINAL_DELAY_S = 0.1
"""Time from the end of a window to its final counts, in which targets still
refuse requests."""

CHECK_INTERVAL_S = 0.05
"""Interval between looks for something to send."""

FORWARD_DELAY_S = 0.4
"""Time from the end of a window to the first sums of it."""

FORWARD_INTERVAL_S = 0.5
"""Least time between the sums of a window, which change as counts come."""

ANSWER_TIMEOUT_S = 0.15
"""Timeout of a message within a domain."""

REPORTER_TIMEOUT_S = 0.3
"""Timeout of a message to the reporter, which may be in another region."""

ATTEMPTS = 5
"""Times that a part is sent before its receiver counts as silent. With three
and a tenth of all datagrams lost, one message in 146 would fail."""

AVOID_S = 2.0
"""How long a silent collector is passed over."""

DECISION_SHARE = 0.6
"""Fraction of the time until a report is due after which missing counts are
no longer waited for. It is longer than a member's lease by the default
settings, so that a VM that was killed is known to be."""

LAST_DECISION_SHARE = 0.9
"""The same for a VM that has just become the reporter."""

REPORTER_START_S = 1.5
"""How long a VM that has become the reporter waits for sums that were sent to
its predecessor."""

MAX_DEVIATION_SHARE = 0.5
"""Fraction of the tolerance by which the bounds of a window may be off."""

REFUSAL_LOG_INTERVAL_S = 10.0
"""Least time between two log lines on messages refused for one reason."""

LOGGED_NAMES = 10
"""VMs and teams that a log line names."""


class Collection:
    """Counts of this VM, and of others for which it collects or reports.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM; its settings have a `usage` section.
    peers : network.datagrams.Peers
        Datagrams to the other VMs.
    """

    def __init__(self, node, peers):
        self._node = node
        self._peers = peers
        self._settings = node.settings.usage
        self._reporter = None
        self._reporter_since = -math.inf
        self._teams = teams.KnownTeams()
        self._clock = clocks.UsageClock(
            self._settings.window_s,
            node.settings.vm.name,
            time.time(),
            clock.now(),
        )
        late_windows = self._settings.late_s / self._settings.window_s
        self._retained_windows = math.ceil(late_windows) + 2
        self._counter = counter.UsageCounter(
            self._clock, self._is_known_team, self._retained_windows
        )
        self._time_exchange = time_exchange.TimeExchange(
            node, peers, self._clock, self._needs_clock
        )
        self._own_run = merging.Run(node.settings.vm.name, node.boot)
        self._started_at = clock.now()
        self._counted_at = -math.inf
        self._sequences = itertools.count(1)
        self._member_runs = member_runs.MemberRuns()
        self._collected = merging.CollectedCounts(self._settings.window_s)
        self._count_parts = merging.PartAssembler()
        self._sum_parts = merging.PartAssembler()
        self._received = completeness.ReceivedSums(self._settings.tolerance)
        self._results = {}
        self._sent = {}
        self._sent_at = -math.inf
        self._avoided_until = {}
        self._forwarded = {}
        self._forwarded_at = {}
        self._forwarded_to = None
        self._excluded = {}
        self._conflicts = {}
        self._refusals_logged_at = {}
        self._is_leaving = False
        messages = datagrams.messages
        peers.handle(messages.UsageCounts, self._note_counts)
        peers.handle(messages.UsageSums, self._note_sums)

    @property
    def clock(self):
        """The `decisions.usage.clock.UsageClock` of this VM."""
        return self._clock

    @property
    def counter(self):
        """The `decisions.usage.counter.UsageCounter` of this VM."""
        return self._counter

    def start(self, supervisor):
        """Start the tasks."""
        self._started_at = clock.now()
        supervisor.keep_running(self._time_exchange.run)
        supervisor.keep_running(self._run_sending)
        supervisor.keep_running(self._run_forwarding)

    def set_reporter(self, vm_name):
        """Set the VM that the collectors send sums to, None if unknown."""
        if vm_name != self._reporter:
            self._reporter = vm_name
            self._reporter_since = clock.now()

    def make_report(self, window):
        """Return the counts of a window if they are complete.

        Parameters
        ----------
        window : int
            Number of the window.

        Returns
        -------
        reports.UsageReport or reports.SkippedWindow or None
            None if the counts may still become complete. A result does
            not change any more.
        """
        known = self._results.get(window)
        if known is None:
            known = self._decide(window, clock.now())
        if known is not None:
            self._results[window] = known
        return known

    async def finish(self):
        """Send the final counts of a VM that stops.

        They are final for the next window too, in whose first moments the VM
        may still be registered.
        """
        self._is_leaving = True
        if self._clock.is_settled:
            self._counter.update(clock.now())
            await self._send_due(clock.now())

    # Counting and sending

    def _is_known_team(self, team):
        state = self._node.view.state
        is_configured = state is not None and team in state.teams
        return is_configured or team in self._teams

    def _needs_clock(self):
        if self._reporter == self._own_run.vm:
            return True
        return clock.now() - self._counted_at < time_exchange.READ_INTERVAL_S

    async def _run_sending(self):
        while True:
            now = clock.now()
            if self._is_send_due(now):
                self._sent_at = now
                self._update(now)
                await self._send_due(now)
            await trio.sleep(CHECK_INTERVAL_S)

    def _update(self, now):
        """Follow the configuration and forget old windows."""
        state = self._node.view.state
        if state is not None:
            self._teams.update(state.teams, now)
        self._member_runs.update(self._node.view.members, now)
        self._counter.update(now)
        if not self._clock.is_settled:
            return
        kept_s = (self._retained_windows + 1) * self._clock.window_s
        self._member_runs.forget_before(now - kept_s)
        oldest = self._find_oldest(now)
        self._collected.forget_before(oldest)
        self._received.forget_before(oldest)
        for key in [key for key in self._conflicts if key[1] < oldest]:
            del self._conflicts[key]
        for parts in (self._count_parts, self._sum_parts):
            parts.retain(lambda key: key[1] >= oldest)
        for by_window in (
            self._results,
            self._sent,
            self._forwarded,
            self._forwarded_at,
            self._excluded,
        ):
            for window in [item for item in by_window if item < oldest]:
                del by_window[window]

    def _find_oldest(self, now):
        return self._clock.get_window(now) - self._retained_windows + 1

    def _is_send_due(self, now):
        if now >= self._sent_at + SEND_INTERVAL_S:
            return True
        final_at = now - FINAL_DELAY_S
        return self._clock.get_window(final_at) > self._clock.get_window(
            self._sent_at - FINAL_DELAY_S
        )

    async def _send_due(self, now):
        """Send the counts that the collector does not have yet."""
        collector = self._find_collector(now)
        if collector is None or not self._clock.is_settled:
            return
        current = self._clock.get_window(now)
        first = max(
            self._find_oldest(now), self._clock.get_window(self._started_at)
        )
        last = current + 1 if self._is_leaving else current
        for window in range(first, last + 1):
            if not await self._send_window(window, collector, now):
                self._avoided_until[collector.vm] = now + AVOID_S
                return

    async def _send_window(self, window, collector, now):
        """Send the counts of a window if they are due.

        Returns
        -------
        bool
            False if the collector is silent.
        """
        change_count, counts = self._counter.get_counts(window)
        has_ended = self._clock.get_window(now - FINAL_DELAY_S) > window
        is_final = has_ended or self._is_leaving
        if counts:
            self._counted_at = now
        elif not is_final:
            return True
        # A VM that started again under its name has no counts.
        receiver = merging.Run(collector.vm, collector.boot)
        state = (receiver, change_count)
        if is_final and self._sent.get(window) == state:
            return True
        covered_s = self._clock.window_s
        if not is_final:
            left_s = max(0.0, self._clock.get_end(window) - now)
            covered_s = max(0.0, covered_s - left_s)
        run_counts = merging.RunCounts(
            next(self._sequences), covered_s, is_final, counts
        )
        if collector.vm == self._own_run.vm:
            self._collected.add(self._own_run, window, run_counts)
        elif not await self._send_counts(window, run_counts, collector):
            return False
        if is_final:
            self._sent[window] = state
        return True

    async def _send_counts(self, window, run_counts, collector):
        parts = usage_parts.split_counts(run_counts.counts)
        for number, part in enumerate(parts):
            message = datagrams.messages.UsageCounts(
                vm=self._own_run.vm,
                boot=self._own_run.boot,
                window=window,
                sequence=run_counts.sequence,
                part=number,
                parts=len(parts),
                covered_ms=int(run_counts.covered_s * 1000),
                is_final=run_counts.is_final,
                counts=part,
            )
            if not await self._send(message, collector, ANSWER_TIMEOUT_S):
                return False
        return True

    async def _send(self, message, member, timeout_s):
        """Send a message until it is confirmed; return its receipt."""
        for _ in range(ATTEMPTS):
            receipt = await self._peers.query(message, member, timeout_s)
            if receipt is not None:
                return receipt
        return None

    def _find_collector(self, now):
        """Return the first VM of the domain that is not silent, or None.

        It is another VM, which keeps the counts if this one is killed, if
        necessary of another domain. A VM that is not registered yet waits
        until it is.
        """
        members = self._node.view.members
        own = self._node.settings.vm
        if own.name not in members:
            return None
        candidates = [
            vm
            for vm in members
            if vm != own.name and now >= self._avoided_until.get(vm, -math.inf)
        ]
        if not candidates and not self._is_leaving:
            return members[own.name]
        near = [vm for vm in candidates if members[vm].domain == own.domain]
        chosen = rendezvous.choose_node(COLLECTOR_KEY, near or candidates)
        return members.get(chosen)

    # Collecting and forwarding

    async def _note_counts(self, message, sender):
        window = message.window
        run = merging.Run(message.vm, message.boot)
        if not self._is_acceptable(message):
            return
        if not 0 <= message.covered_ms <= self._clock.window_s * 1000 + 1:
            self._refuse("covered time out of bounds", message)
            return
        try:
            counts = usage_parts.decode_counts(message.counts)
        except exceptions.ProtocolError as error:
            self._refuse("unreadable counts", message, error)
            return
        contents = self._count_parts.add(
            (run, window),
            message.sequence,
            message.part,
            message.parts,
            self._keep_known_teams(counts, message),
        )
        if contents is not None:
            run_counts = merging.RunCounts(
                message.sequence,
                message.covered_ms / 1000,
                message.is_final,
                dict(itertools.chain.from_iterable(map(dict.items, contents))),
            )
            if not self._collected.add(run, window, run_counts):
                self._refuse("too many runs", message)
                return
        await self._confirm(message, sender)

    async def _run_forwarding(self):
        while True:
            now = clock.now()
            if self._clock.is_settled:
                await self._forward_due(now)
            await trio.sleep(CHECK_INTERVAL_S)

    async def _forward_due(self, now):
        member = self._node.view.members.get(self._reporter)
        is_own = self._reporter == self._own_run.vm
        if member is None and not is_own:
            return
        receiver = (self._reporter, member and member.boot)
        if receiver != self._forwarded_to:
            self._forwarded_to = receiver
            self._forwarded.clear()
            self._excluded.clear()
        last = self._clock.get_window(now - FORWARD_DELAY_S) - 1
        for window in range(self._find_oldest(now), last + 1):
            forwarded_at = self._forwarded_at.get(window, -math.inf)
            if now < forwarded_at + FORWARD_INTERVAL_S:
                continue
            self._forwarded_at[window] = now
            excluded = self._excluded.get(window, frozenset())
            sums = self._collected.make_sums(window, self._is_alive, excluded)
            if sums is None or self._forwarded.get(window) == sums:
                continue
            if is_own:
                conflicts = self._add_sums(self._own_run, window, sums)
            else:
                conflicts = await self._send_sums(window, sums, member)
            if conflicts is None:
                return
            if conflicts:
                self._excluded[window] = excluded | conflicts
            self._forwarded[window] = sums

    def _is_alive(self, run):
        member = self._node.view.members.get(run.vm)
        return member is not None and member.boot == run.boot

    async def _send_sums(self, window, sums, reporter):
        """Send sums; return the runs to leave out, None without an answer."""
        parts = usage_parts.split_sums(sums)
        sequence = next(self._sequences)
        conflicts = set()
        for number, part in enumerate(parts):
            message = datagrams.messages.UsageSums(
                vm=self._own_run.vm,
                boot=self._own_run.boot,
                window=window,
                sequence=sequence,
                part=number,
                parts=len(parts),
                teams=part.teams,
                final_runs=part.final_runs,
                open_runs=part.open_runs,
            )
            receipt = await self._send(message, reporter, REPORTER_TIMEOUT_S)
            if receipt is None:
                return None
            try:
                conflicts |= usage_parts.decode_runs(receipt.excluded)
            except exceptions.ProtocolError as error:
                self._refuse("unreadable receipt", message, error)
        return conflicts

    # Reporting

    async def _note_sums(self, message, sender):
        if not self._is_acceptable(message):
            return
        try:
            sums = usage_parts.decode_sums(
                message.teams, message.final_runs, message.open_runs
            )
        except exceptions.ProtocolError as error:
            self._refuse("unreadable sums", message, error)
            return
        sums = sums._replace(
            teams=self._keep_known_teams(sums.teams, message),
            open_runs={
                run: item._replace(
                    teams=self._keep_known_teams(item.teams, message)
                )
                for run, item in sums.open_runs.items()
            },
        )
        collector = merging.Run(message.vm, message.boot)
        contents = self._sum_parts.add(
            (collector, message.window),
            message.sequence,
            message.part,
            message.parts,
            sums,
        )
        if contents is not None:
            joined = usage_parts.join_sums(contents)
            conflicts = self._add_sums(collector, message.window, joined)
            self._conflicts[collector, message.window] = conflicts
        # The receipt of the last part may be lost, and the part repeated.
        conflicts = self._conflicts.get((collector, message.window), ())
        await self._confirm(message, sender, conflicts)

    def _add_sums(self, collector, window, sums):
        """Add sums; return the runs that the collector has to leave out."""
        is_new, conflicts = self._received.add(collector, window, sums)
        if is_new and window in self._results:
            self._node.metrics.count("usage_late_counts")
            logger.info(
                "counts came after the window was decided",
                extra={
                    "event": "usage_counts_late",
                    "window": window,
                    "from": collector.vm,
                },
            )
        return conflicts

    def _decide(self, window, now):
        current = self._clock.get_window(now)
        if not self._clock.is_settled or window >= current:
            return None
        if window < self._find_oldest(now):
            return reports.SkippedWindow(window, reports.TOO_LATE)
        end = self._clock.get_end(window)
        is_last_chance = now >= self._get_decision_time(end)
        begin = end - self._clock.window_s
        if self._node.view.roster.list_member_sets(begin) is None:
            return reports.SkippedWindow(window, reports.BEFORE_START)
        if not self._is_clock_steady(end):
            return reports.SkippedWindow(window, reports.CLOCK_MOVED)
        if self._node.view_age.confirmed_at < end:
            if is_last_chance:
                return reports.SkippedWindow(window, reports.NO_MEMBERS)
            return None
        registered = self._member_runs.list_between(begin, end)
        verdict = self._received.judge(window, registered)
        if verdict.completeness is completeness.Completeness.COMPLETE:
            return reports.UsageReport(window, verdict.counts)
        if not is_last_chance:
            return None
        is_usable = (
            verdict.completeness is completeness.Completeness.WITHIN_TOLERANCE
        )
        logger.warning(
            "counts of a window are not complete",
            extra={
                "event": "usage_incomplete",
                "window": window,
                "is_reported": is_usable,
                "vms": sorted(verdict.open_vms)[:LOGGED_NAMES],
                "teams": sorted(verdict.teams_in_doubt)[:LOGGED_NAMES],
            },
        )
        if is_usable:
            return reports.UsageReport(window, verdict.counts)
        return reports.SkippedWindow(window, reports.MISSING_COUNTS)

    def _get_decision_time(self, end):
        """Return when missing counts of a window are no longer waited for."""
        late_s = self._settings.late_s
        return min(
            max(
                end + late_s * DECISION_SHARE,
                self._reporter_since + REPORTER_START_S,
            ),
            end + late_s * LAST_DECISION_SHARE,
        )

    def _is_clock_steady(self, end):
        """Return whether the bounds of a window are those of true time."""
        begin = end - self._clock.window_s
        allowed = self._settings.tolerance * MAX_DEVIATION_SHARE
        is_near = self._clock.deviation_s <= allowed * self._clock.window_s
        return is_near and begin >= self._clock.steady_since

    # Received messages

    def _is_acceptable(self, message):
        """Check the window, part and sender of a message."""
        if not self._clock.is_settled:
            return False
        now = clock.now()
        if message.window < self._find_oldest(now):
            self._refuse("window long past", message)
            return False
        if message.window > self._clock.get_window(now) + 1:
            self._refuse("window in the future", message)
            return False
        is_valid = (
            0 <= message.part < message.parts <= usage_parts.MAX_PARTS
            and message.sequence > 0
            and isinstance(message.vm, str)
            and isinstance(message.boot, str)
        )
        if not is_valid:
            self._refuse("invalid part or sender", message)
        return is_valid

    def _keep_known_teams(self, items, message):
        """Return the entries of teams in the configuration."""
        known = {
            team: item
            for team, item in items.items()
            if self._is_known_team(team)
        }
        if len(known) < len(items):
            self._refuse("unknown team", message)
        return known

    async def _confirm(self, message, sender, excluded=()):
        # Those that do not fit into one part are found out next time.
        receipt = datagrams.messages.UsageReceipt(
            number=message.number,
            excluded=usage_parts.split_runs(excluded)[0],
        )
        await self._peers.send(receipt, sender)

    def _refuse(self, reason, message, error=None):
        """Record that a message is not used, or not all of it."""
        self._node.metrics.count("usage_refused_messages")
        now = clock.now()
        last = self._refusals_logged_at.get(reason, -math.inf)
        if now < last + REFUSAL_LOG_INTERVAL_S:
            return
        self._refusals_logged_at[reason] = now
        logger.warning(
            "usage counts of another VM refused",
            extra={
                "event": "usage_refused",
                "why": reason,
                "from": str(message.vm)[:64],
                "window": message.window,
                "detail": str(error or ""),
            },
        )


def ignore_messages(peers):
    """Ignore the messages of VMs whose settings have usage reports."""
    for message_type in (
        datagrams.messages.TimeQuery,
        datagrams.messages.UsageCounts,
        datagrams.messages.UsageSums,
    ):
        peers.handle(message_type, _ignore)


async def _ignore(message, sender):
    pass
