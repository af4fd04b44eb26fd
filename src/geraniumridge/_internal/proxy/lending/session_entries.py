"""Session state of a connection in messages between lender and borrower."""

from geraniumridge._internal.network import peer_messages as messages

MAX_STATE_BYTES = 65_536
"""Session state above which a connection is closed instead of returned."""


def encode(entries):
    """Return entries by name as a list of messages."""
    return [
        messages.SessionEntry(name=name, value=value)
        for name, value in entries.items()
    ]


def decode(encoded):
    """Return a list of messages as entries by name."""
    return {entry.name: entry.value for entry in encoded}


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
    size = sum(
        len(name) + len(value)
        for entries in (values, prepared)
        for name, value in entries.items()
    )
    if size > MAX_STATE_BYTES:
        return None
    return messages.LoanReturn(
        values=encode(values), prepared=encode(prepared)
    )
