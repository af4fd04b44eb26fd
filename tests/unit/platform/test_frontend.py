"""Connections of callers in the line protocol."""

import types

import pytest
import trio

from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.proxy import caller_accounts
from geraniumridge._internal.utils import metrics
from geraniumridge_platform import frontend


class ResettingStream:
    """A stream whose caller is gone once it has sent its STARTUP."""

    async def receive_some(self, max_bytes):
        return b"STARTUP ledger key\r\n"

    async def send_all(self, data):
        raise trio.BrokenResourceError


class Proxy:
    """A proxy that notes its open sessions."""

    def __init__(self):
        self.caller_accounts = caller_accounts.CallerAccounts(
            proxy_settings.CallerSettings(), metrics.MetricsRegistry()
        )
        self.sessions = []

    async def open_session(self, database, key):
        session = types.SimpleNamespace(state_bytes=0)
        self.sessions.append(session)
        return session, None

    async def end_session(self, session):
        self.sessions.remove(session)


def test_reset_before_ready_ends_the_session():
    """The session stayed in the proxy for ever."""

    async def main():
        proxy = Proxy()
        account = proxy.caller_accounts.open(close=None)
        connection = frontend._CallerConnection(
            proxy, ResettingStream(), account
        )
        with pytest.raises(trio.BrokenResourceError):
            await connection.run()
        assert proxy.sessions == []

    trio.run(main)
