"""Connections that cannot be opened to instances."""

import errno
import socket
import types

import pytest
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import desired
from geraniumridge_platform import instances

TIMEOUT_S = 1.0
"""Timeout of opening a connection, in seconds."""

MALFORMED_ADDRESSES = [
    "",
    "nowhere",
    "127.0.0.1:",
    "127.0.0.1:port",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5_000,
    "a\0b:80",
    "\u00fc" * 80 + ":80",
]


def make_target(address):
    return desired.Target(
        id="i-1",
        group="ledger",
        address=address,
        domain="north",
        slots=1,
        is_draining=False,
        warmup_left_s=0.0,
        role=desired.Role.REPLICA,
        started_ms=0,
    )


def open_connection(target):
    trio.run(instances.LineDialect().open, target, "team", TIMEOUT_S)


@pytest.mark.parametrize("address", MALFORMED_ADDRESSES)
def test_malformed_address_counts_as_unreachable(address):
    with pytest.raises(exceptions.NotSentError):
        open_connection(make_target(address))


def test_vm_without_a_free_descriptor_has_not_sent_the_statement(monkeypatch):
    """Otherwise the caller loses its connection without an answer."""

    def fail(*arguments):
        raise OSError(errno.EMFILE, "Too many open files")

    target = make_target("127.0.0.1:1")
    fake_socket = types.SimpleNamespace(
        socket=fail,
        AF_INET=socket.AF_INET,
        SOCK_STREAM=socket.SOCK_STREAM,
    )
    monkeypatch.setattr(instances, "socket", fake_socket)
    with pytest.raises(exceptions.NotSentError):
        open_connection(target)
