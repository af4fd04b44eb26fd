"""Settings of the proxy on one VM, read from a TOML file."""

import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import settings
from geraniumridge._internal.utils import decode

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]


class VmSettings(typing.NamedTuple):
    """Identity of the VM."""

    name: settings.Name
    domain: settings.Name
    ip: settings.Address


class ListenSettings(typing.NamedTuple):
    """Addresses that the daemon listens on.

    `ready` answers the probe for readiness, `metrics` serves the
    metrics. Peers use the ports from `first_peer_port` on.
    """

    callers: settings.Address
    ready: settings.Address
    first_peer_port: Port
    last_peer_port: Port
    metrics: settings.Address | None = None


class PlatformSettings(typing.NamedTuple):
    """Addresses of the store and of the duties of one VM at a time.

    `least_lease_ms` is the shortest life of a lease that the store
    grants, in milliseconds.
    """

    store: settings.Address
    duties: settings.Address
    least_lease_ms: settings.PositiveFloat = 1_000.0


class BoundSettings(typing.NamedTuple):
    """Bounds that the users set.

    `stop_grace_s` is the time to stop in, in seconds. `withdrawal_ms`
    is the time after which a withdrawn key must not work,
    `departure_ms` that after which a target that left must get
    nothing, both in milliseconds.
    """

    stop_grace_s: settings.PositiveFloat = 6.0
    withdrawal_ms: settings.PositiveFloat = 5_000.0
    departure_ms: settings.PositiveFloat = 7_000.0


class ProxySettings(typing.NamedTuple):
    """All settings; `regions` maps failure domains to regions."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    bounds: BoundSettings = BoundSettings()
    regions: dict[str, str] = {}
    log: settings.LogSettings = settings.LogSettings()

    @property
    def peer_address(self):
        """``IP:port`` on which this VM hears the others."""
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
        Naming the file, each key and the reason.
    """
    data = settings.read_toml(path)
    found = decode.decode(ProxySettings, data, path)
    if found.listen.last_peer_port < found.listen.first_peer_port:
        raise exceptions.SettingsError(
            path, ["listen.last_peer_port: Must not be below first_peer_port"]
        )
    return found
