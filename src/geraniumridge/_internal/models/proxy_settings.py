"""Settings of the proxy on the users' platform, read from a TOML file.

The daemon with the HTTP interface reads `models.settings`.
"""

import math
import typing

import msgspec

from geraniumridge._internal.decisions import caller_budget
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import settings
from geraniumridge._internal.utils import codec

MAX_USAGE_S = 86_400
"""Largest time in `UsageSettings`, a day; also refuses infinity."""

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
UsageSeconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_USAGE_S)]


class VmSettings(typing.NamedTuple):
    """Identity of the VM."""

    name: settings.Name
    domain: settings.Name
    ip: settings.Address


class ListenSettings(typing.NamedTuple):
    """Addresses that the daemon listens on.

    `ready` answers the readiness probe, `metrics` serves the metrics.
    `first_peer_port` to `last_peer_port` are the ports for peers.
    """

    callers: settings.Address
    ready: settings.Address
    first_peer_port: Port
    last_peer_port: Port
    metrics: settings.Address | None = None


class PlatformSettings(typing.NamedTuple):
    """Addresses of the platform's services.

    `store` is the key-value store, `duties` the promotion API, which one
    VM at a time may call for a group.
    `least_lease_ms` is the shortest lease that the store grants, in
    milliseconds.
    """

    store: settings.Address
    duties: settings.Address
    least_lease_ms: settings.PositiveFloat = 1_000.0


class BoundSettings(typing.NamedTuple):
    """Time limits that users set.

    `stop_grace_s` is the time for a graceful stop, in seconds. A
    withdrawn key must stop working within `withdrawal_ms`, and a target
    that left must get no statements after `departure_ms`, both in
    milliseconds. `limit_slack` is the number of operations by which a
    team's limit may be exceeded in a window.
    """

    stop_grace_s: settings.PositiveFloat = 6.0
    withdrawal_ms: settings.PositiveFloat = 5_000.0
    departure_ms: settings.PositiveFloat = 7_000.0
    limit_slack: settings.NonNegativeFloat = 0.0


class UsageSettings(typing.NamedTuple):
    """Usage reports; all times in seconds.

    A window is `window_s` long and its report is due `late_s` after its end.
    `tolerance` is the tolerated relative error of a team's count. Two
    holders may not send reports in the order A, B, A within `lease_s`.
    """

    window_s: UsageSeconds
    tolerance: typing.Annotated[float, msgspec.Meta(gt=0, lt=1)]
    late_s: UsageSeconds
    lease_s: UsageSeconds


class CallerSettings(typing.NamedTuple):
    """Bounds on what callers' connections hold and how long they stall.

    `memory_mb` and `max_descriptors` are those of the VM; the bounds that are
    not set follow from them. All callers together hold at most `total_bytes`,
    one at most `connection_bytes`, and its session values and prepared
    statements at most `state_bytes`. There are at most `max_connections`
    callers' connections, and `max_http_connections` on each of the readiness
    and metrics ports. A connection has `startup_timeout_s` for its STARTUP,
    `progress_timeout_s` for each part of a message, and `send_timeout_s` to
    accept each part of an answer.
    """

    memory_mb: settings.PositiveFloat | None = None
    max_descriptors: settings.PositiveInt | None = None
    total_bytes: settings.PositiveInt | None = None
    connection_bytes: settings.PositiveInt | None = None
    state_bytes: settings.PositiveInt | None = None
    max_connections: settings.PositiveInt | None = None
    max_http_connections: settings.PositiveInt = 32
    startup_timeout_s: settings.PositiveFloat = 10.0
    progress_timeout_s: settings.PositiveFloat = 10.0
    send_timeout_s: settings.PositiveFloat = 5.0


class ProxySettings(typing.NamedTuple):
    """All settings; `regions` maps failure domains to regions.

    Without `usage` nothing is counted or reported.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    bounds: BoundSettings = BoundSettings()
    callers: CallerSettings = CallerSettings()
    regions: dict[str, str] = {}
    log: settings.LogSettings = settings.LogSettings()
    usage: UsageSettings | None = None

    @property
    def peer_address(self):
        """``IP:port`` on which this VM receives from its peers."""
        return f"{self.vm.ip}:{self.listen.first_peer_port}"


def load_proxy_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the TOML file.

    Returns
    -------
    ProxySettings
        The checked settings.

    Raises
    ------
    exceptions.SettingsError
        If the settings are invalid; it names the file and lists each
        invalid key with the reason.
    """
    data = settings.read_toml(path)
    found = codec.decode(ProxySettings, data, path)
    problems = list(_cross_check(found))
    if problems:
        raise exceptions.SettingsError(path, problems)
    return found


def _cross_check(found):
    if found.listen.last_peer_port < found.listen.first_peer_port:
        yield "listen.last_peer_port: Must not be below first_peer_port"
    least = caller_budget.MIN_CONNECTION_BYTES
    for key in ("total_bytes", "connection_bytes"):
        value = getattr(found.callers, key)
        if value is not None and value < least:
            yield f"callers.{key}: Must be at least {least}"
    bounds = caller_budget.derive_bounds(found.callers, math.inf)
    if bounds.connection_bytes > bounds.total_bytes:
        yield "callers.connection_bytes: Must not exceed total_bytes"
    if bounds.state_bytes > bounds.connection_bytes:
        yield "callers.state_bytes: Must not exceed connection_bytes"
