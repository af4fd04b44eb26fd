"""Settings files: errors name the file, the key and the reason."""

import subprocess
import sys

import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import settings

GOOD = """
[vm]
name = "a-1"
domain = "a"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
"""


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[vm]\nname = 3", "vm.name"),
        (GOOD + "[nonsense]\n", "nonsense"),
        (GOOD + "[cell]\nlease_s = 0.1\n", "cell.lease_s"),
        (GOOD + "[cell]\nlease = 1.0\n", "cell.lease"),
        (GOOD.replace('"127.0.0.1:2"', '"here"'), "listen.peers"),
        (GOOD.replace('"127.0.0.1:2"', '"127.0.0.1"'), "listen.peers"),
        ("not toml", "TOML"),
    ],
)
def test_error_names_key_and_check_exits_with_2(tmp_path, text, key):
    path = tmp_path / "vm.toml"
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.load_settings(str(path))
    assert key in str(caught.value) and str(path) in str(caught.value)
    code = "from geraniumridge._internal.cli import daemon; daemon.main()"
    result = subprocess.run(
        [sys.executable, "-c", code, "--check", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 2
    assert key in result.stderr


def test_all_errors_are_reported_at_once(tmp_path):
    path = tmp_path / "vm.toml"
    path.write_text('[vm]\nname = "a"\ndomian = "b"\n')
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.load_settings(str(path))
    keys = {item.partition(":")[0] for item in caught.value.problems}
    assert keys >= {"vm.domian", "vm.domain", "listen", "platform"}


def test_error_names_a_missing_file():
    with pytest.raises(exceptions.SettingsError, match="absent.toml"):
        settings.load_settings("absent.toml")


def test_valid_file_loads(tmp_path):
    path = tmp_path / "vm.toml"
    path.write_text(GOOD)
    assert settings.load_settings(str(path)).vm.domain == "a"
