"""Encoding and decoding of datagrams between proxies."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams

ViewStatusQuery = datagrams.messages.ViewStatusQuery
ConfirmationRequest = datagrams.messages.ConfirmationRequest
TokenRequest = datagrams.messages.TokenRequest
TokenGrant = datagrams.messages.TokenGrant
ViewStatusAnswer = datagrams.messages.ViewStatusAnswer
ConfirmationAnswer = datagrams.messages.ConfirmationAnswer


@pytest.mark.parametrize(
    "message",
    [
        TokenRequest(number=1, team="team", wanted=3),
        TokenGrant(number=1, is_owner=True, tokens=2, retry_ms=0, pledge=9),
        ConfirmationRequest(number=1, revision=7),
        ViewStatusQuery(number=1),
        ViewStatusAnswer(number=1, changed=7, age_ms=120),
        datagrams.messages.ChangeNotification(vm="vm-1"),
        ConfirmationAnswer(
            number=1, vm="vm-1", groups=["ledger"], is_whole=True
        ),
    ],
)
def test_messages_are_unchanged_by_encoding_and_decoding(message):
    assert datagrams.decode(datagrams.encode(message)) == message


@given(st.binary(max_size=80))
def test_any_bytes_decode_to_a_message_or_a_protocol_error(data):
    try:
        datagrams.decode(data)
    except exceptions.ProtocolError:
        pass


def test_message_with_a_missing_field_is_rejected():
    data = datagrams.encode(TokenRequest(number=1, team="team"))
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data)
