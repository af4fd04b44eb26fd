"""HTTP server of one VM's metrics."""

from geraniumridge._internal.network import http
from geraniumridge._internal.utils import clock

METRICS_PATH = "/metrics"
MAX_REPORTED_AGE_S = 1e9
"""Age of the store view that is reported while there is none, in place
of infinity."""


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
        text = self._node.metrics.format_text()
        return http.Response(
            200, text.encode(), content_type="text/plain; version=0.0.4"
        )

    def _set_gauges(self):
        """Set the gauges; `knowledge_age_seconds` is the store view's age."""
        node = self._node
        gauges = {
            "knowledge_age_seconds": min(
                MAX_REPORTED_AGE_S, node.view_age.get_age(clock.now())
            ),
            "store_revision": node.view.revision,
            "members": len(node.view.members),
            "targets": len(node.view.targets),
            "target_connections": node.pools.size,
            "idle_target_connections": node.pools.idle_count,
            "caller_connections": self._accounts.budget.connection_count,
            "caller_bytes": self._accounts.budget.total,
        }
        if node.view.state is not None:
            gauges["desired_version"] = node.view.state.version
        for name, value in gauges.items():
            node.metrics.set_gauge(name, value)
