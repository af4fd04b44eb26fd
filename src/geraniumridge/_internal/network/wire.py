"""Thrift messages between daemons and their numbers on the wire.

The definitions are in ``wire.thrift``, which ``thriftpy2`` reads at
import, so no code is generated.
"""

import pathlib

import thriftpy2
from thriftpy2.protocol import cybin
from thriftpy2 import utils

from geraniumridge._internal import exceptions

messages = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("wire.thrift")),
    module_name="geraniumridge_wire_thrift",
)

_FACTORY = cybin.TCyBinaryProtocolFactory()
_KINDS = tuple(messages.__thrift_meta__["structs"])
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}


def get_number(kind):
    """Return the number of a message type on the wire."""
    return _NUMBERS[kind]


def encode(message):
    """Return the bytes of a message."""
    return utils.serialize(message, _FACTORY)


def decode(number, data):
    """Return the message of a type number and its bytes.

    Raises
    ------
    exceptions.ProtocolError
        If they do not make up a message.
    """
    try:
        message = _KINDS[number]()
        return utils.deserialize(message, data, _FACTORY)
    except Exception as error:
        raise exceptions.ProtocolError(f"message {number}: {error!r}")
