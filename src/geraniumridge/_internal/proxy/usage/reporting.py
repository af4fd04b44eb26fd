"""Reports of the usage: recorded in the store, then sent by one VM."""

import logging
import math

import trio

from geraniumridge._internal.decisions.usage import reporter
from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal.decisions.usage import window_queue
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import fleet
from geraniumridge._internal.ports import store as store_port
from geraniumridge._internal.proxy import recorded_call
from geraniumridge._internal.proxy.usage import reporter_lease
from geraniumridge._internal.utils import backoff
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import rendezvous

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
"""Interval between looks at the key and at windows that are due."""

MAX_VIEW_AGE_S = 1.0
"""Age of the store view above which a VM does not try to become the reporter,
as the key may be taken."""

MIN_RETRY_DELAY_S = 0.5
"""First delay after a call that failed; grows, as the platform limits the rate
of its API and charges for each call of the store."""

MAX_RETRY_DELAY_S = 2.0
"""Longest delay after a call that failed."""

MIN_GIVE_UP_S = 3.0
"""Shortest time without an answer of the API after which the reporter leaves
its place to another VM."""

MAX_REPORTED_AGE_S = 1e9
"""Age of the newest window that is reported while there is none."""


class UsageReporting:
    """Tasks that make one VM the reporter and let it report.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    store : ports.store.Store
        The platform's store.
    receiver : ports.targets.UsageReceiver
        Client of the platform's API.
    collection : object
        Collected counts; has `make_report(window)` and
        `set_reporter(vm_name)`.
    usage_clock : object
        Windows by true time; has `window_s`, `is_settled`,
        `get_window(now)` and `get_end(window)`.
    """

    def __init__(self, node, store, receiver, collection, usage_clock):
        self._node = node
        self._store = store
        self._receiver = receiver
        self._collection = collection
        self._clock = usage_clock
        self._settings = node.settings.usage
        lease_s = reporter.get_lease_s(
            self._settings.lease_s,
            node.settings.platform.least_lease_ms / 1000,
        )
        self._vm = node.settings.vm.name
        self._lease = reporter_lease.ReporterLease(store, lease_s)
        self._reporter = reporter.Reporter(self._vm, node.boot, lease_s)
        self._announced = None
        self._queue = None
        self._recorder = None
        self._record_at = -math.inf
        self._record_backoff = _make_backoff()
        self._send_at = -math.inf
        self._send_backoff = _make_backoff()
        self._unanswered_since = None

    def start(self, supervisor):
        """Start the tasks in a `supervision.Supervisor`."""
        supervisor.keep_running(self._run)
        supervisor.keep_running(self._renew_lease)

    async def leave(self):
        """Stop reporting and leave the place to another VM."""
        self._reporter.stop()
        self._queue = None
        await self._lease.end()

    async def _run(self):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            await self._check()

    async def _renew_lease(self):
        await self._lease.run(lambda: self._reporter.fence)

    async def _check(self):
        now = clock.now()
        self._announce_reporter()
        if not self._clock.is_settled:
            return
        age_s = window_queue.find_newest_age(
            now, self._clock, self._node.view.usage_records
        )
        self._node.metrics.set_gauge(
            "usage_newest_age_seconds", min(age_s, MAX_REPORTED_AGE_S)
        )
        decision = self._decide()
        if decision.action is reporter.Action.ACQUIRE:
            await self._acquire(decision.revision)
        elif decision.action is reporter.Action.REPORT:
            self._start_tenure(now, decision.revision)
            await self._record_due()
            await self._send_next()
            await self._check_answers()

    def _announce_reporter(self):
        """Tell the collection where the collectors send their counts."""
        seen = self._node.view.usage_reporter
        if seen is not None and seen.vm and seen.vm != self._announced:
            self._announced = seen.vm
            self._collection.set_reporter(seen.vm)

    def _decide(self):
        view = self._node.view
        now = clock.now()
        is_current = (
            self._node.primary_resolver.is_self_registered()
            and self._node.view_age.is_within(now, MAX_VIEW_AGE_S)
        )
        seen = reporter.Observation(
            view.revision,
            is_current,
            view.get_revision(fleet.USAGE_REPORTER_KEY),
            view.usage_reporter,
            self._lease.number,
            self._lease.until,
            rendezvous.find_rank(
                fleet.USAGE_REPORTER_KEY, view.members, self._vm
            ),
        )
        return self._reporter.decide(now, seen)

    async def _acquire(self, expected_revision):
        """Try to become the reporter."""
        self._reporter.note_attempt(clock.now())
        key = fleet.USAGE_REPORTER_KEY
        try:
            await self._lease.open()
            lease = self._lease.number
            record = fleet.UsageReporter(self._vm, self._node.boot, lease)
            write = store_port.Write(key, fleet.encode_record(record), lease)
            fence = await self._store.commit({key: expected_revision}, [write])
        except exceptions.PlatformError as error:
            _log("usage reporter not changed", why=_describe(error))
            return
        self._reporter.note_acquired(
            clock.now(), fence, lease, expected_revision
        )
        _log("usage reporter acquired", fence=fence)

    def _start_tenure(self, now, fence):
        if self._queue is not None and self._queue.fence == fence:
            return
        self._queue = window_queue.WindowQueue(
            fence, self._clock, self._settings.late_s
        )
        self._recorder = recorded_call.FencedRecorder(
            self._store, fleet.USAGE_REPORTER_KEY, fence
        )
        self._unanswered_since = None
        _log("usage reporter begins", fence=fence)
        records = self._node.view.usage_records
        for skipped in self._queue.start(now, records):
            self._note_skipped(skipped)

    async def _record_due(self):
        """Decide and record the windows that have ended."""
        queue = self._queue
        passed_over = queue.pass_over_old(clock.now())
        if passed_over:
            _log("usage windows passed over", windows=passed_over)
        while queue is self._queue and clock.now() >= self._record_at:
            window = queue.find_window(clock.now())
            if window is None or not await self._record(queue, window):
                return

    async def _record(self, queue, window):
        """Decide one window; return whether the next one may follow."""
        known = self._node.view.usage_records.get(window)
        if known is not None:
            if known.is_readable:
                queue.note_recorded(window, known.counts)
            else:
                self._note_skipped(
                    queue.skip(window, window_queue.UNREADABLE_RECORD)
                )
            return True
        decided = queue.get_decided(window)
        if queue.is_overdue(window, clock.now()):
            reason = (
                window_queue.INCOMPLETE
                if decided is None
                else window_queue.NOT_RECORDED
            )
            self._note_skipped(queue.skip(window, reason))
            return True
        report = decided or self._make_report(window)
        if report is None:
            return False
        if isinstance(report, reports.SkippedWindow):
            self._note_skipped(queue.skip(window, report.reason))
            return True
        queue.decide(report)
        return await self._commit(queue, report)

    def _make_report(self, window):
        report = self._collection.make_report(window)
        if not isinstance(report, reports.UsageReport):
            return report
        if not window_queue.is_valid(report.counts):
            return reports.SkippedWindow(window, window_queue.INVALID_COUNTS)
        if len(self._encode(report)) > window_queue.MAX_RECORD_BYTES:
            return reports.SkippedWindow(window, window_queue.TOO_LARGE)
        # The counts must not change between the attempts to record them.
        return reports.UsageReport(window, dict(report.counts))

    def _encode(self, report):
        return fleet.encode_record(
            fleet.UsageRecord(self._queue.fence, self._vm, report.counts)
        )

    async def _commit(self, queue, report):
        """Record a report; return whether the next window may follow."""
        key = fleet.make_usage_key(report.window)
        obsolete = queue.list_obsolete(
            clock.now(), self._node.view.usage_records
        )
        try:
            await self._recorder.record(
                key,
                self._encode(report),
                {key: 0},
                [fleet.make_usage_key(item) for item in obsolete],
            )
        except exceptions.PlatformError as error:
            # After a conflict the view shows soon what was first.
            self._record_at = clock.now() + self._record_backoff.next_delay_s()
            _log(
                "usage not recorded",
                window=report.window,
                fence=queue.fence,
                why=_describe(error),
            )
            return False
        self._record_backoff.reset()
        queue.note_recorded(report.window, report.counts)
        return True

    async def _send_next(self):
        """Send one recorded report that is not known to be answered."""
        queue = self._queue
        if queue is None or clock.now() < self._send_at:
            return
        report = queue.find_call(clock.now())
        if report is None:
            self._unanswered_since = None
            return

        def find_obstacle():
            expected = reporter.Decision(reporter.Action.REPORT, queue.fence)
            if self._decide() != expected or queue is not self._queue:
                return "no longer the reporter"
            if not queue.is_useful(report.window, clock.now()):
                return "too late"
            return None

        queue.note_attempt(report.window)
        if self._unanswered_since is None:
            self._unanswered_since = clock.now()
        try:
            await recorded_call.send(
                self._receiver.connect,
                None,
                find_obstacle,
                lambda call: call.send(report, self._vm, queue.fence),
            )
        except exceptions.TargetRefusedError as error:
            # The API can be reached; another VM would get the same answer.
            self._unanswered_since = None
            self._note_unanswered(queue, report, error)
        except (
            recorded_call.NotSentError,
            exceptions.PlatformUnavailableError,
        ) as error:
            self._note_unanswered(queue, report, error)
        else:
            self._note_answered(queue, report)

    def _note_answered(self, queue, report):
        queue.note_answered(report.window)
        self._unanswered_since = None
        self._send_backoff.reset()
        metrics = self._node.metrics
        metrics.count("usage_windows_reported")
        is_late = queue.is_overdue(report.window, clock.now())
        if is_late:
            metrics.count("usage_reports_late")
        _log(
            "usage reported",
            window=report.window,
            fence=queue.fence,
            teams=len(report.counts),
            is_late=is_late,
        )

    def _note_unanswered(self, queue, report, error):
        self._send_at = clock.now() + self._send_backoff.next_delay_s()
        self._node.metrics.count("usage_calls_unanswered")
        _log(
            "usage not answered",
            window=report.window,
            fence=queue.fence,
            why=_describe(error),
        )

    async def _check_answers(self):
        """Leave the place to another VM if the API does not answer."""
        since = self._unanswered_since
        bound_s = max(MIN_GIVE_UP_S, self._settings.late_s / 2)
        if since is None or clock.now() - since < bound_s:
            return
        _log("usage reporter gives up", fence=self._reporter.fence)
        self._unanswered_since = None
        self._queue = None
        self._reporter.give_up(clock.now())
        await self._lease.end()

    def _note_skipped(self, skipped):
        self._node.metrics.count(f"usage_windows_skipped:{skipped.reason}")
        logger.warning(
            "usage window skipped",
            extra={
                "event": "usage_window_skipped",
                "window": skipped.window,
                "reason": skipped.reason,
            },
        )


def _make_backoff():
    return backoff.Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)


def _describe(error):
    return str(error) or type(error).__name__


def _log(message, **fields):
    event = message.replace(" ", "_")
    logger.info(message, extra={"event": event, **fields})
