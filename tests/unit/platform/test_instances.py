"""Connections to instances whose store entries are malformed."""

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


@pytest.mark.parametrize("address", MALFORMED_ADDRESSES)
def test_malformed_address_counts_as_unreachable(address):
    target = desired.Target(
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
    dialect = instances.LineDialect()
    with pytest.raises(exceptions.NotSentError):
        trio.run(dialect.open, target, "team", TIMEOUT_S)
