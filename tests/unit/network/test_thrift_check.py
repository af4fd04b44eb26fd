"""Cost of checking encoded thrift structs."""

import struct
import time

import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import thrift_check

LIST_HEADER = bytes.fromhex("0f0009 03")
"""Field 9, a list of bytes, without its length."""

ITEM_COUNT = 4_000_000

MAX_CHECK_S = 0.2
"""Processor time that the check of a frame of numbers may take."""


def make_list(claimed_count):
    """Return a struct with a list that holds `ITEM_COUNT` bytes."""
    length = struct.pack("!i", claimed_count)
    return LIST_HEADER + length + bytes(ITEM_COUNT) + bytes(1)


def test_large_list_of_numbers_is_checked_in_one_step():
    started_at = time.process_time()
    thrift_check.check_struct(make_list(ITEM_COUNT))
    assert time.process_time() - started_at < MAX_CHECK_S


def test_list_of_numbers_that_exceeds_the_data_is_rejected():
    with pytest.raises(exceptions.ProtocolError):
        thrift_check.check_struct(make_list(ITEM_COUNT + 2))
