"""Datagrams between proxies."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams

AskNews = datagrams.messages.AskNews
Doubt = datagrams.messages.Doubt
Draw = datagrams.messages.Draw
Grant = datagrams.messages.Grant
News = datagrams.messages.News
Standing = datagrams.messages.Standing


@pytest.mark.parametrize(
    "message",
    [
        Draw(number=1, team="team", wanted=3),
        Grant(number=1, is_owner=True, tokens=2, retry_ms=0, pledge=9),
        Doubt(number=1, revision=7),
        AskNews(number=1),
        News(number=1, changed=7, age_ms=120),
        datagrams.messages.Hint(vm="vm-1"),
        Standing(number=1, vm="vm-1", groups=["ledger"], is_whole=True),
    ],
)
def test_messages_survive_the_wire(message):
    assert datagrams.decode(datagrams.encode(message)) == message


@given(st.binary(max_size=80))
def test_any_bytes_are_a_message_or_a_protocol_error(data):
    try:
        datagrams.decode(data)
    except exceptions.ProtocolError:
        pass


def test_a_message_with_a_field_missing_is_refused():
    data = datagrams.encode(Draw(number=1, team="team"))
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data)
