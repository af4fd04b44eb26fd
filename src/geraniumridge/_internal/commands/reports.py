"""Commands that show status and metrics of the daemons."""

import dataclasses
import typing

import cappa
from hdrh import histogram

from geraniumridge._internal.commands import base
from geraniumridge._internal.network import configstore

PERCENTILES = (50, 90, 99, 99.9)


@cappa.command(name="status", help="Show state and configuration of each VM.")
@dataclasses.dataclass
class Status:
    """State of every VM that the platform lists."""

    def run(self, options):
        """Print one row per VM, also for a VM that does not answer."""

        async def fetch(client):
            loaded = await configstore.load_chain(client)
            pages = base.fetch_pages(options, client, "/status")
            return loaded.version, [item async for item in pages]

        accepted_version, pages = base.run_with_client(fetch, options)
        rows = [_make_row(accepted_version, vm, page) for vm, page in pages]
        columns = ["vm", "domain", "state", "config", "view", "targets"]
        base.print_rows(options, columns, rows)


def _make_row(accepted_version, vm, page):
    if page is None:
        return [vm.name, vm.domain, "no answer", "", "", ""]
    version = page["config_version"]
    lag_note = (
        ""
        if version >= accepted_version
        else f" (accepted: {accepted_version})"
    )
    return [
        vm.name,
        vm.domain,
        vm.state,
        f"{version}{lag_note}",
        page.get("view", ""),
        " ".join(sorted(page["targets"])),
    ]


@cappa.command(name="metrics", help="Show latencies merged over all VMs.")
@dataclasses.dataclass
class Metrics:
    """Counters and latency percentiles over all VMs."""

    team: typing.Annotated[
        str, cappa.Arg(long="--team", help="Show only this team.")
    ] = ""

    def run(self, options):
        """Print percentiles per team and kind, then the counters."""

        async def fetch(client):
            pages = base.fetch_pages(options, client, "/metrics")
            return [page async for _, page in pages if page is not None]

        pages = base.run_with_client(fetch, options)
        rows = list(self._make_rows(merge_latencies(pages)))
        columns = ["team", "kind", "count"]
        columns += [f"p{item} ms" for item in PERCENTILES]
        base.print_rows(options, columns, rows)
        if not options.as_json:
            counters = sorted(merge_counters(pages).items())
            base.print_rows(options, ["counter", "value"], counters)

    def _make_rows(self, merged):
        for (team, kind), latencies in sorted(merged.items()):
            if self.team in ("", team):
                values = [
                    round(
                        latencies.get_value_at_percentile(percentile) / 1000, 3
                    )
                    for percentile in PERCENTILES
                ]
                yield [team, kind, latencies.get_total_count(), *values]


def merge_latencies(pages):
    """Return one histogram per team and kind, merged over all VMs."""
    merged = {}
    for page in pages:
        for series in page["latencies"]:
            decoded = histogram.HdrHistogram.decode(series["histogram"])
            key = (series["team"], series["kind"])
            if key in merged:
                merged[key].add(decoded)
            else:
                merged[key] = decoded
    return merged


def merge_counters(pages):
    """Return the counters summed over all VMs."""
    total = {}
    for page in pages:
        for name, value in page["counters"].items():
            total[name] = total.get(name, 0) + value
    return total
