"""Check of encoded thrift structs before they are decoded.

``thriftpy2`` allocates memory and repeats reads as often as a length in the
data claims, and reads beyond the end of the data without an error. So all
lengths are compared with the size of the data first.
"""

import struct

from thriftpy2 import thrift

from geraniumridge._internal import exceptions

MAX_DEPTH = 64
"""Levels of structs and containers, the outermost struct included. The
decoder has the same limit."""

_TType = thrift.TType
_FIXED_SIZES = {
    _TType.BOOL: 1,
    _TType.BYTE: 1,
    _TType.I16: 2,
    _TType.I32: 4,
    _TType.I64: 8,
    _TType.DOUBLE: 8,
}
_LENGTH = struct.Struct("!i")
_FIELD_NUMBER_BYTES = 2


def check_struct(data):
    """Check that a struct and all that it contains lie within the data.

    Parameters
    ----------
    data : bytes
        A struct in the binary protocol; bytes after it are ignored.

    Raises
    ------
    exceptions.ProtocolError
        If a length is negative or exceeds the data, a type is unknown, or
        the nesting is too deep.
    """
    _StructChecker(data).check_value(_TType.STRUCT, MAX_DEPTH)


class _StructChecker:
    """Position in the data up to which all lengths have been checked."""

    def __init__(self, data):
        self._data = data
        self._position = 0

    def check_value(self, value_type, depth):
        """Move past a value with at most `depth` levels."""
        size = _FIXED_SIZES.get(value_type)
        if size is not None:
            self._skip(size)
        elif value_type == _TType.STRING:
            self._skip(self._read_length())
        elif depth == 0:
            raise exceptions.ProtocolError("thrift: nested too deeply")
        elif value_type == _TType.STRUCT:
            self._check_fields(depth - 1)
        elif value_type in (_TType.LIST, _TType.SET):
            self._check_items([self._read_byte()], depth - 1)
        elif value_type == _TType.MAP:
            item_types = [self._read_byte(), self._read_byte()]
            self._check_items(item_types, depth - 1)
        else:
            raise exceptions.ProtocolError(f"thrift: type {value_type}")

    def _check_fields(self, depth):
        while (field_type := self._read_byte()) != _TType.STOP:
            self._skip(_FIELD_NUMBER_BYTES)
            self.check_value(field_type, depth)

    def _check_items(self, item_types, depth):
        length = self._read_length()
        sizes = [_FIXED_SIZES.get(item_type) for item_type in item_types]
        if None not in sizes:
            self._skip(length * sum(sizes))
            return
        # Each item moves the position, so the data bounds the repetitions.
        for _ in range(length):
            for item_type in item_types:
                self.check_value(item_type, depth)

    def _read_byte(self):
        start = self._position
        self._skip(1)
        return self._data[start]

    def _read_length(self):
        start = self._position
        self._skip(_LENGTH.size)
        (length,) = _LENGTH.unpack_from(self._data, start)
        if length < 0:
            raise exceptions.ProtocolError(f"thrift: length {length}")
        return length

    def _skip(self, size):
        self._position += size
        if self._position > len(self._data):
            raise exceptions.ProtocolError(
                f"thrift: {self._position} of {len(self._data)} bytes"
            )
