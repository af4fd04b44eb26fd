"""Session tokens, which hold the log positions that a session has seen."""

import base64
import binascii
import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records

MAX_TOKEN_BYTES = 8_192
"""Longest session token that is decoded."""

_Positions = dict[str, tuple[int, int]]


class Session(typing.NamedTuple):
    """Highest log position that a session has seen in each group."""

    positions: dict[str, records.LogPosition] = {}

    def get_position(self, group):
        """Return the position in a group, `LOG_START` if none was seen."""
        return self.positions.get(group, records.LOG_START)

    def advance(self, group, position):
        """Return the session after it has seen a position."""
        if position <= self.get_position(group):
            return self
        return Session({**self.positions, group: position})


def encode_token(session):
    """Encode a session as a token for the session header."""
    data = msgspec.json.encode(session.positions)
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode_token(text):
    """Decode a session token; an empty one is a new session.

    Raises
    ------
    exceptions.BadRequestError
        If the text is not a valid session token.
    """
    if not text:
        return Session()
    try:
        if len(text) > MAX_TOKEN_BYTES:
            raise ValueError("longer than 8192 bytes")
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        positions = msgspec.json.decode(data, type=_Positions)
    except (ValueError, binascii.Error, msgspec.MsgspecError) as error:
        raise exceptions.BadRequestError(
            f"Geraniumridge-Session: not a session token: {error}"
        )
    return Session(
        {
            group: records.LogPosition(*position)
            for group, position in positions.items()
        }
    )
