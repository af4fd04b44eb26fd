"""Session state of a connection in messages between lender and borrower."""

from geraniumridge._internal import exceptions
from geraniumridge._internal.network import peer_messages as messages

MAX_STATE_BYTES = 65_536
"""Session state above which a connection is not lent, and closed instead of
returned."""


def encode(entries):
    """Return entries by name as a list of messages."""
    return [
        messages.SessionEntry(name=name, value=value)
        for name, value in entries.items()
    ]


def decode(encoded):
    """Return a list of messages as entries by name.

    Raises
    ------
    exceptions.ConnectionLostError
        If a field is missing.
    """
    if any(None in vars(entry).values() for entry in encoded):
        raise exceptions.ConnectionLostError("loan channel: field missing")
    return {entry.name: entry.value for entry in encoded}


def is_portable(values, prepared):
    """Return whether a session state is no larger than `MAX_STATE_BYTES`."""
    size = sum(
        len(name) + len(value)
        for entries in (values, prepared)
        for name, value in entries.items()
    )
    return size <= MAX_STATE_BYTES


def make_return(values, prepared):
    """Return the message that returns a connection.

    Parameters
    ----------
    values, prepared : dict
        Its values and prepared statements by name.

    Returns
    -------
    messages.LoanReturn or None
        None if the state is larger than `MAX_STATE_BYTES`.
    """
    if not is_portable(values, prepared):
        return None
    return messages.LoanReturn(
        values=encode(values), prepared=encode(prepared)
    )
