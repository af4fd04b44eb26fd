"""HTTP server of one VM's metrics."""

from geraniumridge._internal.models import revisions
from geraniumridge._internal.network import http
from geraniumridge._internal.utils import clock

METRICS_PATH = "/metrics"
MAX_REPORTED_AGE_S = 1e9
"""Age of the store view that is reported while there is none, in place
of infinity."""


MAX_TARGET_SERIES = 50
"""Targets with series of their own, those with the most statements; further
targets share one."""

OTHER_TARGETS_LABEL = "other"
"""Label of the series that targets beyond `MAX_TARGET_SERIES` share."""


TARGET_SERIES = (
    "target_statements_total",
    "target_occupancy",
    "target_neighbours_occupancy",
)


class MetricsServer:
    """Server of the metrics in the text format of Prometheus.

    Parameters
    ----------
    node : proxy.node.Node
        State of the VM.
    accounts : proxy.caller_accounts.CallerAccounts
        What callers hold.
    """

    def __init__(self, node, accounts):
        self._node = node
        self._accounts = accounts

    async def start(self, nursery, address):
        """Listen on ``IP:port``."""
        await http.serve(
            nursery,
            address,
            self._answer,
            limits=http.NO_BODY_LIMITS,
            max_connections=self._accounts.settings.max_http_connections,
            on_replaced=self._note_replaced,
        )

    def _note_replaced(self):
        self._accounts.count_closed("max_http_connections")

    async def _answer(self, request):
        if request.path != METRICS_PATH:
            return http.Response(404, b"")
        self._set_gauges()
        text = self._node.metrics.format_text() + self._format_targets()
        return http.Response(
            200, text.encode(), content_type="text/plain; version=0.0.4"
        )

    def _set_gauges(self):
        """Set the gauges.

        `knowledge_age_seconds` is the store view's age, `round_trip_seconds`
        the estimate for each domain whose VMs have answered this one.
        """
        node = self._node
        gauges = {
            "knowledge_age_seconds": min(
                MAX_REPORTED_AGE_S, node.view_age.get_age(clock.now())
            ),
            "store_revision": revisions.get_number(node.view.revision),
            "store_era": node.view.era,
            "members": len(node.view.members),
            "targets": len(node.view.targets),
            "target_connections": node.pools.size,
            "idle_target_connections": node.pools.idle_count,
            "borrowed_target_connections": node.pools.borrowed_count,
            "caller_connections": self._accounts.budget.connection_count,
            "caller_bytes": self._accounts.budget.total,
        }
        for domain, seconds in node.distances.list_measured().items():
            name = f"round_trip_seconds:domain={domain}"
            gauges[name] = round(seconds, 6)
        if node.view.state is not None:
            gauges["desired_version"] = node.view.state.version
        for name, value in gauges.items():
            node.metrics.set_gauge(name, value)

    def _format_targets(self):
        """Return the statements and the load of each target as text.

        `target_statements_total` are those that the target has answered to
        this VM, `target_occupancy` is this VM's mean number of calls there,
        `target_neighbours_occupancy` that of the other VMs of the domain, 0
        where it is unknown.
        """
        now = clock.now()
        pools = sorted(
            self._node.pools.items(),
            key=lambda item: (-item[1].load.answered_calls, item[0]),
        )
        values_by_label = {}
        for number, (target_id, pool) in enumerate(pools):
            others = self._node.load_reports.get_others(target_id, now)
            label = _escape(target_id)
            if number >= MAX_TARGET_SERIES:
                label = OTHER_TARGETS_LABEL
            values = values_by_label.setdefault(label, [0, 0.0, 0.0])
            values[0] += pool.load.answered_calls
            values[1] += pool.load.get_occupancy(now)
            values[2] += 0.0 if others is None else others.calls
        lines = []
        for index, name in enumerate(TARGET_SERIES):
            for label, values in values_by_label.items():
                lines.append(
                    f'geraniumridge_{name}{{target="{label}"}}'
                    f" {round(values[index], 3)}\n"
                )
        return "".join(lines)


def _escape(label):
    """Return a label's value as the text format writes it."""
    label = label.replace("\\", "\\\\").replace('"', '\\"')
    return label.replace("\n", "\\n")
