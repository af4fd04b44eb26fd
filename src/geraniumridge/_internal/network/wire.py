"""Thrift messages between daemons and the numbers of their types.

``thriftpy2`` reads the definitions in ``wire.thrift`` at import, so no
code is generated. A type's number is its place among the structs there.
"""

import pathlib
import typing

import thriftpy2
from thriftpy2.protocol import cybin
from thriftpy2 import utils

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import thrift_check
from geraniumridge._internal.utils import codec

messages = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("wire.thrift")),
    module_name="geraniumridge_wire_thrift",
)

_FACTORY = cybin.TCyBinaryProtocolFactory(strict_decode=True)
_MESSAGE_TYPES = tuple(messages.__thrift_meta__["structs"])
_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)
}


def get_type_number(message_type):
    """Return the number that identifies a message type on the wire."""
    return _TYPE_NUMBERS[message_type]


def encode(message):
    """Return a message as serialized data."""
    return utils.serialize(message, _FACTORY)


def decode(type_number, data):
    """Return the message of a given type in serialized data.

    Raises
    ------
    exceptions.ProtocolError
        If the type is unknown or the data is malformed.
    """
    try:
        message = _MESSAGE_TYPES[type_number]()
        thrift_check.check_struct(data)
        return utils.deserialize(message, data, _FACTORY)
    except Exception as error:
        raise exceptions.ProtocolError(f"message {type_number}: {error!r}")


def pack(value):
    """Convert a named tuple to the message type of the same name.

    Parameters
    ----------
    value : object
        A named tuple, a sequence of them, or a scalar.

    Returns
    -------
    object
        The thrift message, list or scalar.
    """
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        message_type = getattr(messages, type(value).__name__)
        fields = value._asdict().items()
        return message_type(**{name: pack(item) for name, item in fields})
    if isinstance(value, (list, tuple)):
        return [pack(item) for item in value]
    return value


def unpack(tuple_type, message):
    """Convert a message to a named tuple; ignore fields it does not have.

    Raises
    ------
    exceptions.ProtocolError
        If a field without a default value is missing.
    """
    values = {}
    hints = codec.get_field_types(tuple_type)
    for name in tuple_type._fields:
        value = getattr(message, name, None)
        if value is not None:
            values[name] = _unpack_value(hints[name], value)
    try:
        return tuple_type(**values)
    except TypeError as error:
        raise exceptions.ProtocolError(f"{tuple_type.__name__}: {error}")


def _unpack_value(type_hint, value):
    for tuple_type in (type_hint, *typing.get_args(type_hint)):
        if isinstance(tuple_type, type) and hasattr(tuple_type, "_fields"):
            if isinstance(value, list):
                return tuple(unpack(tuple_type, item) for item in value)
            return unpack(tuple_type, value)
    return tuple(value) if isinstance(value, list) else value
