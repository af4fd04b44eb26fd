"""TLS and shared secrets between daemons, callers and operators."""

import json
import ssl
import subprocess
import sys
import time

import pytest
import trustme

from standins import fleet

TOOL_CODE = "from geraniumridge._internal.cli import tool; tool.main()"
"""Program that runs the operators' tool."""


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """Return paths of a certificate authority and a certificate it issued."""
    directory = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.10.1", "127.0.11.1")
    paths = {
        name: str(directory / f"{name}.pem")
        for name in ("certificate", "key", "authority")
    }
    issued.cert_chain_pems[0].write_to_path(paths["certificate"])
    issued.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["authority"])
    return paths


def make_settings(files):
    """Return TOML settings for TLS and the shared secrets."""
    lines = [f'{name} = "{path}"' for name, path in files.items()]
    secrets = 'peer_secret = "between us"\noperator_secret = "for us"'
    return "[tls]\n" + "\n".join(lines) + f"\n[security]\n{secrets}\n"


def run_status(deployment, files, secret):
    """Run the operators' tool with a client certificate."""
    options = [f"--{name}={path}" for name, path in files.items()]
    return subprocess.run(
        [sys.executable, "-c", TOOL_CODE, "--platform", deployment.platform]
        + ["--json", f"--secret={secret}", *options, "status"],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=fleet.ROOT,
    )


def test_tls_and_secrets_on_every_interface(files):
    deployment = fleet.Fleet(("a", "b"), 2, settings=make_settings(files))
    try:
        deployment.start_platform()
        deployment.start_group("ledger")
        fleet.wait_for(deployment.register_vms, "platform")
        deployment.write_config()
        for name in deployment.vms:
            deployment.start_vm(name)
        context = ssl.create_default_context(cafile=files["authority"])

        def read(name):
            answer = fleet.request(
                deployment.vms[name].callers,
                "POST",
                "/v1/groups/ledger/statements",
                {"sql": "SELECT 1"},
                {"Authorization": f"Bearer {deployment.keys['coop']}"},
                tls=context,
            )
            return answer.status == 200

        for name in deployment.vms:
            fleet.wait_for(lambda: read(name), f"{name} over TLS")
        accepted = run_status(deployment, files, "for us")
        rows = json.loads(accepted.stdout)
        assert accepted.returncode == 0 and len(rows) == 4, accepted.stderr
        assert all(row["config"] == "1" for row in rows), rows
        refused = run_status(deployment, files, "guess")
        assert refused.returncode == 4 and "secret" in refused.stderr
        with pytest.raises(OSError):
            # Operators' pages require a client certificate that the
            # authority issued.
            address = deployment.vms["a-1"].operators
            fleet.request(address, "GET", "/status", tls=context)
    finally:
        deployment.stop()


def test_daemon_with_another_peer_secret_does_not_become_a_member():
    with fleet.Fleet(("a",), 2) as deployment:
        vm = deployment.add_vm("a-9", "a")
        deployment.extra_settings = '[security]\npeer_secret = "other"'
        deployment.register_vms()
        deployment.start_vm(vm.name)
        time.sleep(6)
        for name in ("a-1", "a-2"):
            members = deployment.get_page(name, "/status")["members"]
            assert "a-9" not in members
        assert deployment.read("a-1", "ledger", "SELECT 1").status == 200


def test_domain_cut_off_for_too_long_refuses_keyed_requests():
    settings = "[limits]\ncut_off_s = 4.0"
    with fleet.Fleet(
        ("a", "b", "c"), 1, settings=settings, has_fault_proxy=True
    ) as deployment:
        deployment.cut_links(("a", "b"), ("a", "c"), ("a", "platform"))

        def is_refused():
            answer = deployment.read("a-1", "ledger", "SELECT 1")
            return answer.data.get("code") == "stopping"

        fleet.wait_for(is_refused, "refusal", timeout_s=20)
        assert deployment.read("b-1", "ledger", "SELECT 1").status == 200
        deployment.cut_links()
        fleet.wait_for(lambda: not is_refused(), "return", timeout_s=30)
