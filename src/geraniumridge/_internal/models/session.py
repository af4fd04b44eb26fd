"""Session tokens: what a session has seen, per database group."""

import base64
import binascii
import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records

MAX_TOKEN_BYTES = 8_192

_Positions = dict[str, tuple[int, int]]


class Session(typing.NamedTuple):
    """The highest position that a session has seen in each group."""

    positions: dict[str, records.LogPosition] = {}

    def get_position(self, group):
        """Return the position for a group, ``LOG_START`` if there is none."""
        return self.positions.get(group, records.LOG_START)

    def advance(self, group, position):
        """Return the session after it has seen a further position."""
        if position <= self.get_position(group):
            return self
        return Session({**self.positions, group: position})


def encode_token(session):
    """Return the header form of a session."""
    data = msgspec.json.encode(session.positions)
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode_token(text):
    """Read a session token.

    Raises
    ------
    exceptions.BadRequestError
        If the token was not made by this system.
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
