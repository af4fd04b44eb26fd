"""Counters, and latency histograms per team and class of request."""

import typing

from hdrh import histogram

from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2


class Series(typing.NamedTuple):
    """Identity of one histogram."""

    team: str
    kind: str


@registry.PLUGINS.register("metrics")
class Metrics(kernel.Plugin):
    """What the daemon measures of itself."""

    def __init__(self, owner):
        super().__init__(owner)
        self._counters = {}
        self._gauges = {}
        self._histograms = {}

    @property
    def counters(self):
        """Counters by name; labels follow after a colon."""
        return self._counters

    def count(self, name, amount=1):
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def set_gauge(self, name, value):
        """Set a value that goes up and down."""
        self._gauges[name] = value

    def record(self, team, kind, seconds):
        """Add one latency, in seconds."""
        series = Series(team, kind)
        found = self._histograms.get(series)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self._histograms[series] = found
        found.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def export(self):
        """Return everything as plain data; histograms are encoded."""
        latencies = [
            {
                "team": series.team,
                "kind": series.kind,
                "histogram": item.encode().decode(),
            }
            for series, item in self._histograms.items()
        ]
        return {
            "counters": self._counters,
            "gauges": self._gauges,
            "latencies": latencies,
        }
