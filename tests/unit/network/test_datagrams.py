"""Encoding and decoding of datagrams between proxies."""

import time
import tracemalloc

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

MESSAGES = [
    TokenRequest(number=1, team="team", wanted=3),
    TokenGrant(number=1, is_owner=True, tokens=2, retry_ms=0, pledge=9),
    ConfirmationRequest(number=1, revision=7),
    ViewStatusQuery(number=1),
    ViewStatusAnswer(number=1, changed=7, age_ms=120),
    datagrams.messages.ChangeNotification(vm="vm-1"),
    ConfirmationAnswer(number=1, vm="vm-1", groups=["ledger"], is_whole=True),
]

MAX_DECODE_BYTES = 65_536
"""Memory that decoding a short datagram may allocate."""

MAX_DECODE_S = 0.2
"""Processor time that decoding a short datagram may take, in seconds."""

CLAIMED_LENGTHS = {
    "skipped string": "00 0b0000 13000000",
    "skipped binary": "00 120009 13000000",
    "string without its length": "00 0b0000 13",
    "known string": "00 0b0002 13000000",
    "string in a list": "03 0f0003 0b00000001 13000000",
    "list of strings": "03 0f0003 0b00ffffff",
    "skipped list of structs": "00 0f0005 0c0fffffff",
    "skipped list of an unknown type": "00 0f0005 010fffffff",
    "skipped set of bytes": "00 0e0005 030fffffff",
    "skipped map": "00 0d0000 00000003",
    "skipped map of bytes": "00 0d0009 03030fffffff",
    "negative length": "00 0b0000 ffffffff",
}


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_are_unchanged_by_encoding_and_decoding(message):
    assert datagrams.decode(datagrams.encode(message)) == message


@given(st.binary(max_size=80))
def test_any_bytes_decode_to_a_message_or_a_protocol_error(data):
    try:
        datagrams.decode(data)
    except exceptions.ProtocolError:
        pass


@pytest.mark.parametrize("text", CLAIMED_LENGTHS.values(), ids=CLAIMED_LENGTHS)
def test_claimed_length_costs_no_memory_and_no_time(text):
    data = bytes.fromhex(text)
    started_at = time.process_time()
    tracemalloc.start()
    try:
        with pytest.raises(exceptions.ProtocolError):
            datagrams.decode(data)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_DECODE_BYTES
    assert time.process_time() - started_at < MAX_DECODE_S


@pytest.mark.parametrize("message", MESSAGES)
def test_incomplete_datagram_is_rejected(message):
    data = datagrams.encode(message)
    for size in range(len(data)):
        with pytest.raises(exceptions.ProtocolError):
            datagrams.decode(data[:size])


def test_unknown_field_that_exceeds_the_datagram_is_rejected():
    data = datagrams.encode(ViewStatusQuery(number=1))
    unknown_field = bytes.fromhex("0b0009 13000000")
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data[:-1] + unknown_field)


def test_deeply_nested_field_is_rejected():
    data = datagrams.encode(ViewStatusQuery(number=1))
    nested = bytes.fromhex("0c0009") * 500 + bytes(500)
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data[:-1] + nested + bytes(1))


def test_unknown_fields_of_all_types_are_skipped():
    message = ViewStatusQuery(number=1)
    data = datagrams.encode(message)
    unknown_fields = bytes.fromhex(
        "020009 01"
        "03000a 01"
        "06000b 0001"
        "08000c 00000001"
        "0a000d 0000000000000001"
        "04000e 3ff0000000000000"
        "0b000f 00000001 61"
        "0c0010 020001 01 00"
        "0d0011 0b08 00000001 00000001 61 00000001"
        "0e0012 08 00000001 00000001"
        "0f0013 0c 00000002 00 00"
    )
    assert datagrams.decode(data[:-1] + unknown_fields + bytes(1)) == message


def test_message_with_a_missing_field_is_rejected():
    data = datagrams.encode(TokenRequest(number=1, team="team"))
    with pytest.raises(exceptions.ProtocolError):
        datagrams.decode(data)
