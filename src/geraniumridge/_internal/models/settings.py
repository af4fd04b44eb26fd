"""Settings of the daemon with the HTTP interface, read from a TOML file.

The proxy on the users' platform reads `models.proxy_settings`.
"""

import pathlib
import tomllib
import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.utils import codec

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,127}$")
]
Address = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+$")]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]


class VmSettings(typing.NamedTuple):
    """Identity of the VM."""

    name: Name
    domain: Name


class ListenSettings(typing.NamedTuple):
    """Addresses ``IP:port`` that the daemon listens on.

    `advertise` is the address that other VMs use instead of `peers`, if
    it differs. `source` is the local IP of outgoing connections.
    """

    callers: Address
    peers: Address
    operators: Address
    advertise: Address | None = None
    source: Address | None = None


class PlatformSettings(typing.NamedTuple):
    """Address and timeouts of the platform's key-value store.

    A request that waits for a change of a key waits at most `watch_s`.
    """

    address: Address
    timeout_s: PositiveFloat = 1.0
    watch_s: PositiveFloat = 20.0


class CellSettings(typing.NamedTuple):
    """Settings of the membership protocol within a failure domain.

    `exchange_s` is the interval at which cells exchange reports and
    look for a newer configuration in other cells. `seeds` are peer
    addresses to contact while the platform's list of VMs cannot be read.
    """

    heartbeat_s: PositiveFloat = 0.5
    lease_s: PositiveFloat = 2.0
    exchange_s: PositiveFloat = 0.5
    seeds: tuple[Address, ...] = ()


class LimitSettings(typing.NamedTuple):
    """Limits on the resources of one caller or VM.

    A transaction is rolled back once it has been idle for
    `transaction_idle_s` or open for `transaction_total_s`. `queue_length`
    is the number of requests of a team that may wait for a slot of one
    target, `admission_wait_s` the longest wait for a token while a limiter
    can be reached. A domain that has been cut off for `cut_off_s` refuses
    requests with a key, as its list of keys may be out of date.
    """

    max_body_bytes: PositiveInt = 1_000_000
    max_header_bytes: PositiveInt = 16_384
    max_connections: PositiveInt = 4_000
    request_timeout_s: PositiveFloat = 10.0
    idle_timeout_s: PositiveFloat = 300.0
    head_timeout_s: PositiveFloat = 10.0
    transaction_idle_s: PositiveFloat = 5.0
    transaction_total_s: PositiveFloat = 30.0
    queue_length: PositiveInt = 256
    stop_grace_s: PositiveFloat = 30.0
    admission_wait_s: PositiveFloat = 0.25
    cut_off_s: PositiveFloat = 5_400.0


class AuthoritySettings(typing.NamedTuple):
    """Time limits of term confirmation and of failure detection.

    `evidence_ttl_s` is how long a confirmation that no later term is in
    force stays valid. The `suspect_*` settings are times without an
    answer: after `suspect_target_s` a gateway reports its target as
    silent, after `suspect_gateway_s` without an answer of its gateway, or
    `suspect_domain_s` without one of any VM of its domain, a primary
    counts as failed. `probe_every_s` is the interval of these checks.
    """

    evidence_ttl_s: PositiveFloat = 4.0
    read_every_s: PositiveFloat = 1.0
    suspect_target_s: PositiveFloat = 2.0
    suspect_gateway_s: PositiveFloat = 6.0
    suspect_domain_s: PositiveFloat = 2.5
    probe_every_s: PositiveFloat = 0.5


class SecuritySettings(typing.NamedTuple):
    """Secrets that daemons share with their peers and with operators."""

    peer_secret: str = ""
    operator_secret: str = ""


class TlsSettings(typing.NamedTuple):
    """Paths of PEM files; peers must present a certificate too."""

    certificate: str
    key: str
    authority: str


class LogSettings(typing.NamedTuple):
    """Settings of the log."""

    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(typing.NamedTuple):
    """All settings of one daemon."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    cell: CellSettings = CellSettings()
    limits: LimitSettings = LimitSettings()
    authority: AuthoritySettings = AuthoritySettings()
    security: SecuritySettings = SecuritySettings()
    tls: TlsSettings | None = None
    log: LogSettings = LogSettings()


def read_toml(path):
    """Return the tables of a TOML file.

    Raises
    ------
    exceptions.SettingsError
        If the file cannot be read or is not valid TOML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(path, [f"cannot be read: {error}"])
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise exceptions.SettingsError(path, [f"not valid TOML: {error}"])


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the TOML file.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    exceptions.SettingsError
        If the settings are invalid; it names the file and lists each
        invalid key with the reason.
    """
    settings = codec.decode(Settings, read_toml(path), path)
    problems = list(_cross_check(settings))
    if problems:
        raise exceptions.SettingsError(path, problems)
    return settings


def _cross_check(settings):
    if settings.cell.lease_s < 3 * settings.cell.heartbeat_s:
        yield "cell.lease_s: Must be at least 3 x cell.heartbeat_s"
    if settings.authority.evidence_ttl_s < 2 * settings.authority.read_every_s:
        yield (
            "authority.evidence_ttl_s: Must be at least"
            " 2 x authority.read_every_s"
        )
    for key, value in settings.listen._asdict().items():
        if value is not None and key != "source":
            yield from _check_address(f"listen.{key}", value)
    yield from _check_address("platform.address", settings.platform.address)


def _check_address(key, value):
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        yield f"{key}: Expected IP:port, got {value!r}"
