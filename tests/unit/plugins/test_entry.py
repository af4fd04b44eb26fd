"""Retries of `StatementRouter`, with a gateway that follows a script."""

import types

import pytest
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.models import membership
from geraniumridge._internal.models import records
from geraniumridge._internal.models import requests
from geraniumridge._internal.models import session
from geraniumridge._internal.models import settings
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import entry
from lib import kernels

SETTINGS = settings.Settings(
    settings.VmSettings("vm", "north"),
    settings.ListenSettings("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
    settings.PlatformSettings("127.0.0.1:4"),
    limits=settings.LimitSettings(request_timeout_s=0.5),
)
LOCAL_MEMBER = membership.Member("vm", "1", "127.0.0.1:2")


class ScriptedGateway:
    """Gateway that raises or answers as a script says."""

    def __init__(self, script):
        self.script = list(script)
        self.calls = 0

    async def run_statement(self, message):
        self.calls += 1
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, Exception):
            raise step
        return wire.messages.StatementAnswer(body=b"{}", term=1, position=1)


class FixedTerms:
    """Terms of one group, which do not change."""

    def __init__(self):
        term = records.GroupTerm(1, "p")
        self.evidence = types.SimpleNamespace(get_group=lambda name: term)

    async def wait_changed(self, timeout_s):
        await trio.sleep(timeout_s)


class UnlimitedAdmission:
    """Admission without a rate limit."""

    async def admit(self, team):
        return None


def prepare_write(script, **options):
    """Return a scripted gateway and a function that runs one write."""
    target = config.TargetEntry("127.0.0.1:9", "north")
    document = config.Document(
        domains={"north": config.DomainEntry()},
        groups={"g": config.GroupEntry({"p": target})},
    )
    gateway = ScriptedGateway(script)
    kernel = kernels.FakeKernel(
        SETTINGS,
        admission=UnlimitedAdmission(),
        configuration=types.SimpleNamespace(document=document),
        gateway=gateway,
        membership=types.SimpleNamespace(
            find_gateway=lambda *args: LOCAL_MEMBER
        ),
        metrics=kernels.NoOpPlugin(),
        peers=None,
        terms=FixedTerms(),
    )
    plugin = entry.StatementRouter(kernel)
    body = requests.StatementBody("INSERT", mode="write", **options)
    caller = entry.Caller("t", "k", config.PlanUse(1.0, 1, {}))

    async def main():
        await plugin.start(None)
        return await plugin.run(
            caller,
            "g",
            body,
            session.Session(),
            {"request_id": "r", "idempotency_key": ""},
        )

    return gateway, lambda: trio.run(main)


def test_request_that_was_not_run_is_retried():
    gateway, call = prepare_write(
        [exceptions.MisroutedError("moved"), "answer"]
    )
    assert call().target == "p"
    assert gateway.calls == 2


def test_unknown_outcome_is_not_retried_by_default():
    gateway, call = prepare_write(
        [exceptions.OutcomeUnknownError("lost"), "answer"]
    )
    with pytest.raises(exceptions.OutcomeUnknownError):
        call()
    assert gateway.calls == 1


def test_outcome_stays_unknown_after_an_unknown_attempt():
    script = [
        exceptions.OutcomeUnknownError("lost"),
        exceptions.UnavailableError("refused"),
    ]
    gateway, call = prepare_write(script, repeatable=True)
    with pytest.raises(exceptions.RequestError) as caught:
        call()
    assert caught.value.executed == "unknown"
    assert gateway.calls > 1


def test_rejection_after_an_unknown_attempt_stays_unknown():
    script = [
        exceptions.OutcomeUnknownError("lost"),
        exceptions.StatementError("no such table"),
    ]
    _, call = prepare_write(script, repeatable=True)
    with pytest.raises(exceptions.RequestError) as caught:
        call()
    assert caught.value.executed == "unknown"
