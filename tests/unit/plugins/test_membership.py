"""Calls of the gateways of targets."""

import types

import pytest
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.models import membership as membership_models
from geraniumridge._internal.models import settings
from geraniumridge._internal.network import wire
from geraniumridge._internal.plugins import membership
from geraniumridge._internal.utils import rendezvous
from lib import kernels

SETTINGS = settings.Settings(
    settings.VmSettings("vm-0", "north"),
    settings.ListenSettings("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
    settings.PlatformSettings("127.0.0.1:4"),
)

VIEW = membership_models.View(
    1,
    "vm-1",
    tuple(
        membership_models.Member(f"vm-{number}", "0", f"127.0.1.{number}:2")
        for number in (1, 2, 3)
    ),
)

DOCUMENT = config.Document(
    domains={"south": config.DomainEntry()},
    groups={
        "g": config.GroupEntry(
            {"p": config.TargetEntry("127.0.0.1:9", "south")}
        )
    },
)


class RecordingPeers(kernels.NoOpPlugin):
    """Peers that note the calls and answer them."""

    def __init__(self):
        self.calls = []

    async def call(self, address, message, timeout_s):
        self.calls.append((address, message, timeout_s))
        return "answer"


def call_gateway(view):
    """Return the calls and the answer to a call of the gateway of g/p."""
    peers = RecordingPeers()
    kernel = kernels.FakeKernel(
        SETTINGS,
        configuration=types.SimpleNamespace(document=DOCUMENT),
        directory=types.SimpleNamespace(
            find_view={"south": view}.get,
        ),
        peers=peers,
    )
    message = wire.messages.Promote(
        group="g", target="p", action="status", term=0
    )

    async def main():
        plugin = membership.Membership(kernel)
        await plugin.start(kernels.NoOpPlugin())
        return await plugin.call_gateway(message, 1.5)

    answer = trio.run(main)
    return message, peers.calls, answer


def test_call_reaches_the_vm_on_which_the_target_is_placed():
    message, calls, answer = call_gateway(VIEW)
    owner = rendezvous.choose_node("g/p", VIEW.names)
    address = VIEW.find_member(owner).address
    assert calls == [(address, message, 1.5)]
    assert answer == "answer"


def test_call_is_refused_while_the_gateway_is_not_known():
    with pytest.raises(exceptions.UnavailableError) as caught:
        call_gateway(None)
    assert "no gateway of g/p" in str(caught.value)
