"""Proxy settings: errors name the file, the key and the reason."""

import pathlib
import re

import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import proxy_settings

GOOD = """
[vm]
name = "vm-1"
domain = "north"
ip = "127.0.0.1"
[listen]
callers = "127.0.0.1:1001"
ready = "127.0.0.1:1002"
first_peer_port = 1003
last_peer_port = 1010
[platform]
store = "127.0.0.1:1004"
duties = "127.0.0.1:1005"
"""
TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy" / "settings.toml.in"


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return proxy_settings.load_proxy_settings(str(path))


def test_good_settings_load(tmp_path):
    found = load(tmp_path, GOOD)
    assert found.vm.name == "vm-1"
    assert found.bounds.stop_grace_s == 6.0


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('name = "vm-1"', "", "vm.name: Missing"),
        ("1003", '"x"', "listen.first_peer_port"),
        ("1010", "900", "listen.last_peer_port"),
        ('ip = "127.0.0.1"', 'ip = "host name"', "vm.ip"),
        ("[vm]", "[vm", "not valid TOML"),
        ("[vm]", "[vm]\nodd = 1", "vm.odd: Unknown key"),
    ],
)
def test_errors_name_file_key_and_reason(tmp_path, old, new, named):
    with pytest.raises(exceptions.SettingsError) as caught:
        load(tmp_path, GOOD.replace(old, new))
    assert named in str(caught.value)
    assert "settings.toml" in str(caught.value)


def test_error_names_a_missing_file(tmp_path):
    with pytest.raises(exceptions.SettingsError) as caught:
        proxy_settings.load_proxy_settings(str(tmp_path / "none"))
    assert "none: cannot be read" in str(caught.value)


USAGE = """
[usage]
window_s = 5
tolerance = 0.05
late_s = 10
lease_s = 3000e-3
"""


def test_usage_settings_are_absent_by_default(tmp_path):
    assert load(tmp_path, GOOD).usage is None


def test_usage_settings_load(tmp_path):
    found = load(tmp_path, GOOD + USAGE).usage
    assert found == proxy_settings.UsageSettings(5.0, 0.05, 10.0, 3.0)


@pytest.mark.parametrize("name", proxy_settings.UsageSettings._fields)
def test_usage_settings_are_refused_unless_all_are_set(tmp_path, name):
    kept = [line for line in USAGE.split("\n") if not line.startswith(name)]
    with pytest.raises(exceptions.SettingsError) as caught:
        load(tmp_path, GOOD + "\n".join(kept))
    assert f"usage.{name}: Missing" in str(caught.value)


@pytest.mark.parametrize("name", proxy_settings.UsageSettings._fields)
@pytest.mark.parametrize("value", ["0", "-1", '"5"', "nan", "inf"])
def test_usage_settings_are_refused_unless_positive(tmp_path, name, value):
    lines = [
        f"{name} = {value}" if line.startswith(name) else line
        for line in USAGE.split("\n")
    ]
    with pytest.raises(exceptions.SettingsError) as caught:
        load(tmp_path, GOOD + "\n".join(lines))
    assert f"usage.{name}" in str(caught.value)


TEMPLATE_VALUES = {
    "node|json": '"vm-1"',
    "zone|json": '"north"',
    "ip|json": '"10.0.0.1"',
    "ip": "10.0.0.1",
    "internalPorts.0": "7000",
    "internalPorts.1": "7010",
    "bounds.graceS": "6",
    "bounds.revokeMs": "5000",
    "platform.ttlMinMs": "1000",
    "bounds.drainMs": "7000",
    "bounds.quotaSlack": "20",
    "limits.memoryMb": "200",
    "limits.maxFds": "4300",
    "#zones": "",
    "/zones": "",
    "@": "north",
    ".|json": '"east"',
}
USAGE_VALUES = {
    "bounds.reportWindowS": "5",
    "bounds.usageTolerance": "0.05",
    "bounds.usageLateS": "10",
    "bounds.leaseMs": "3000",
}


def render(values):
    """Return the template with values, and only the sections that have one."""
    text = re.sub(
        r"\{\{#((?:bounds|limits)\.\w+)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match[2] if match[1] in values else "",
        TEMPLATE.read_text(),
        flags=re.DOTALL,
    )
    return re.sub(
        r"\{\{(.*?)\}\}",
        lambda match: values.get(match[1], '"10.0.0.1:1"'),
        text,
    )


def test_deployment_template_sets_only_known_keys(tmp_path):
    found = load(tmp_path, render(TEMPLATE_VALUES))
    assert found.regions == {"north": "east"}
    assert found.bounds.withdrawal_ms == 5000
    assert found.bounds.limit_slack == 20
    assert found.usage is None
    assert found.callers.memory_mb == 200
    assert found.callers.max_descriptors == 4300


def test_deployment_template_sets_usage_if_the_platform_asks(tmp_path):
    found = load(tmp_path, render({**TEMPLATE_VALUES, **USAGE_VALUES}))
    assert found.usage == proxy_settings.UsageSettings(5.0, 0.05, 10.0, 3.0)
    assert found.regions == {"north": "east"}


def test_deployment_template_with_a_part_of_usage_is_refused(tmp_path):
    values = {**TEMPLATE_VALUES, **USAGE_VALUES, "bounds.usageLateS": ""}
    with pytest.raises(exceptions.SettingsError):
        load(tmp_path, render(values))


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("total_bytes = 1000", "callers.total_bytes: Must be at least"),
        ("connection_bytes = 9", "callers.connection_bytes: Must be at least"),
        ("connection_bytes = 90000000", "Must not exceed total_bytes"),
        ("state_bytes = 90000000", "Must not exceed connection_bytes"),
        ("memory_mb = 0", "callers.memory_mb"),
        ("max_connections = 0", "callers.max_connections"),
        ("odd = 1", "callers.odd: Unknown key"),
    ],
)
def test_bounds_on_callers_are_checked(tmp_path, text, named):
    with pytest.raises(exceptions.SettingsError) as caught:
        load(tmp_path, f"{GOOD}[callers]\n{text}\n")
    assert named in str(caught.value)
