"""Session tokens: what a session has seen, per database group."""

import base64
import binascii
import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records

MAX_TOKEN_BYTES = 8_192

_Marks = dict[str, tuple[int, int]]


class Session(typing.NamedTuple):
    """The highest mark that a session has seen in each group."""

    marks: dict[str, records.Mark] = {}

    def get_mark(self, group):
        """Return the mark for a group, ``NO_MARK`` if there is none."""
        return self.marks.get(group, records.NO_MARK)

    def advance(self, group, mark):
        """Return the session after it has seen a further mark."""
        if mark <= self.get_mark(group):
            return self
        return Session({**self.marks, group: mark})


def encode_token(session):
    """Return the header form of a session."""
    data = msgspec.json.encode(session.marks)
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
        marks = msgspec.json.decode(data, type=_Marks)
    except (ValueError, binascii.Error, msgspec.MsgspecError) as error:
        raise exceptions.BadRequestError(
            f"Geraniumridge-Session: not a session token: {error}"
        )
    return Session(
        {group: records.Mark(*mark) for group, mark in marks.items()}
    )
