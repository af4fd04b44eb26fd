"""Counters, and latency histograms by team and class of request."""

from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.utils import metrics


@registry.PLUGINS.register("metrics")
class Metrics(kernel.Plugin, metrics.MetricsRegistry):
    """Metrics of the daemon."""

    def __init__(self, daemon_kernel):
        kernel.Plugin.__init__(self, daemon_kernel)
        metrics.MetricsRegistry.__init__(self, metrics.MERGED_HISTOGRAM_DIGITS)
