"""Encoding of changes that VMs pass to each other."""

import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import change_batches
from geraniumridge._internal.ports import store

items = st.builds(
    store.Item,
    st.text(max_size=20),
    st.one_of(st.none(), st.binary(max_size=50), st.text().map(str.encode)),
    st.integers(1, 2**62),
)


@given(st.lists(items, max_size=10))
def test_items_survive_encoding(changed):
    data = change_batches.encode_batch(changed)
    assert change_batches.decode_batch(data) == tuple(changed)


@given(st.binary(max_size=60))
def test_any_bytes_are_a_batch_or_a_protocol_error(content):
    for data in (content, zlib.compress(content)):
        try:
            change_batches.decode_batch(data)
        except exceptions.ProtocolError:
            pass


def test_batch_that_grows_too_large_is_refused():
    data = zlib.compress(bytes(change_batches.MAX_BATCH_BYTES + 1))
    with pytest.raises(exceptions.ProtocolError, match="too large"):
        change_batches.decode_batch(data)
