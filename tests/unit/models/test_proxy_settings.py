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


def test_deployment_template_sets_only_known_keys(tmp_path):
    values = {
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
        "#bounds.quotaSlack": "",
        "/bounds.quotaSlack": "",
        "limits.memoryMb": "200",
        "#limits.memoryMb": "",
        "/limits.memoryMb": "",
        "limits.maxFds": "4300",
        "#limits.maxFds": "",
        "/limits.maxFds": "",
        "#zones": "",
        "/zones": "",
        "@": "north",
        ".|json": '"east"',
    }
    text = re.sub(
        r"\{\{(.*?)\}\}",
        lambda match: values.get(match[1], '"10.0.0.1:1"'),
        TEMPLATE.read_text(),
    )
    found = load(tmp_path, text)
    assert found.regions == {"north": "east"}
    assert found.bounds.withdrawal_ms == 5000
    assert found.bounds.limit_slack == 20
    assert found.callers.memory_mb == 200
    assert found.callers.max_descriptors == 4300


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
