"""Changes of the store as VMs pass them to each other.

A batch is a compressed thrift message; several datagrams carry its parts.
"""

import zlib

from thriftpy2 import utils

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.network import thrift_check
from geraniumridge._internal.ports import store

MAX_BATCH_BYTES = 4 * 2**20
"""Largest size of a batch before compression."""

_COMPRESSION_LEVEL = 1


def encode_batch(items):
    """Return changes as bytes.

    Parameters
    ----------
    items : sequence of store.Item
        The changes, sorted by revision.
    """
    batch = datagrams.messages.ChangeBatch(
        items=[
            datagrams.messages.ChangedItem(
                key=item.key,
                revision=item.revision,
                is_deleted=item.value is None,
                value=item.value or b"",
            )
            for item in items
        ]
    )
    data = utils.serialize(batch, datagrams.FACTORY)
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode_batch(data):
    """Return the changes in a batch, a tuple of `store.Item`.

    Raises
    ------
    exceptions.ProtocolError
        If the data is malformed or larger than `MAX_BATCH_BYTES`.
    """
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(data, MAX_BATCH_BYTES)
        if not decompressor.eof:
            raise exceptions.ProtocolError("batch: incomplete or too large")
        thrift_check.check_struct(content)
        batch = datagrams.messages.ChangeBatch()
        utils.deserialize(batch, content, datagrams.FACTORY)
        return tuple(_decode_item(item) for item in batch.items)
    except exceptions.ProtocolError:
        raise
    except Exception as error:
        raise exceptions.ProtocolError(f"batch: {error!r}")


def _decode_item(item):
    if None in vars(item).values():
        raise exceptions.ProtocolError("batch: field missing")
    value = None if item.is_deleted else item.value
    if isinstance(value, str):
        value = value.encode()
    return store.Item(item.key, value, item.revision)
