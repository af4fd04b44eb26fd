"""Counters, and latency histograms per team and class of request."""

from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.utils import measures


@registry.PLUGINS.register("metrics")
class Metrics(kernel.Plugin, measures.Measures):
    """What the daemon measures of itself."""

    def __init__(self, owner):
        kernel.Plugin.__init__(self, owner)
        measures.Measures.__init__(self, measures.FINE_DIGITS)
