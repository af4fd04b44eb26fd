"""Counters, gauges and latency histograms of one process."""

import typing

from hdrh import histogram

MIN_LATENCY_US = 1
"""Lower end of the histograms; shorter latencies count as this."""

MAX_LATENCY_US = 60_000_000
"""Upper end of the histograms, one minute."""

DEFAULT_HISTOGRAM_DIGITS = 1
"""Significant digits of a latency; with one, a series takes a few KB."""

MERGED_HISTOGRAM_DIGITS = 2
"""Significant digits where histograms of many VMs are merged."""

MAX_TEAM_LABELS = 200
"""Teams with series of their own; further teams share one."""

OTHER_TEAMS_LABEL = "other"
"""Label of the series that teams beyond `MAX_TEAM_LABELS` share."""

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Series(typing.NamedTuple):
    """Labels that identify one latency histogram."""

    team: str
    kind: str


class MetricsRegistry:
    """Counters, gauges and latency histograms.

    What follows a colon in the name of a counter or gauge is its label in
    the text format: ``label=value``, or the value of the label ``reason``.

    Parameters
    ----------
    significant_digits : int, optional
        Significant digits that the histograms keep.
    """

    def __init__(self, significant_digits=DEFAULT_HISTOGRAM_DIGITS):
        self._significant_digits = significant_digits
        self._counters = {}
        self._gauges = {}
        self._histograms = {}
        self._teams = set()

    @property
    def counters(self):
        """Counters by name."""
        return self._counters

    def count(self, name, amount=1):
        """Increase a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def set_gauge(self, name, value):
        """Set a gauge."""
        self._gauges[name] = value

    def record_latency(self, team, kind, seconds):
        """Record one latency, in seconds."""
        series = Series(self._get_team_label(team), kind)
        latencies = self._histograms.get(series)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, self._significant_digits
            )
            self._histograms[series] = latencies
        latencies.record_value(max(MIN_LATENCY_US, int(seconds * 1e6)))

    def export(self):
        """Return all metrics as plain data, with encoded histograms."""
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

    def format_text(self):
        """Return all metrics in the text format of Prometheus."""
        lines = []
        for name, value in sorted(self._counters.items()):
            lines.append(_format_value(name, value, "_total"))
        for name, value in sorted(self._gauges.items()):
            lines.append(_format_value(name, value))
        for series, item in self._histograms.items():
            lines.extend(_format_series(series, item))
        return "\n".join(lines) + "\n"

    def _get_team_label(self, team):
        if team in self._teams:
            return team
        if len(self._teams) >= MAX_TEAM_LABELS:
            return OTHER_TEAMS_LABEL
        self._teams.add(team)
        return team


def _format_value(name, value, suffix=""):
    name, _, rest = name.partition(":")
    label, _, text = rest.partition("=")
    if not text or not label.isidentifier():
        label, text = "reason", rest
    labels = f'{{{label}="{text}"}}' if rest else ""
    return f"geraniumridge_{name}{suffix}{labels} {value}"


def _format_series(series, item):
    labels = f'team="{series.team}",kind="{series.kind}"'
    name = "geraniumridge_latency_seconds"
    for percentile in PERCENTILES:
        value = item.get_value_at_percentile(percentile) / 1e6
        quantile = f"{percentile / 100:g}"
        yield f'{name}{{{labels},quantile="{quantile}"}} {value}'
    yield f"{name}_count{{{labels}}} {item.get_total_count()}"
