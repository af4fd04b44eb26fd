"""Restoring of a session's state on a pooled connection.

Sessions share connections, so the values and prepared statements of a
session may be missing, or those of another may be left over.
"""

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.ports import targets


def list_restore_calls(dialect, connection, session, statement):
    """Return the calls that restore the state that a statement needs.

    `connection` records the new state at once; if a call fails, the
    caller has to close the connection.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        Protocol of the targets.
    connection : proxy.pool.PooledConnection
        The connection.
    session : proxy.session.Session
        Session whose values and prepared statements are restored.
    statement : statements.Statement
        Statement that runs next.

    Returns
    -------
    list of ports.targets.Call
    """
    texts = []
    if connection.values.keys() - session.values.keys():
        texts.append(dialect.format_reset())
        connection.clear_state()
    for name, value in session.values.items():
        if connection.values.get(name) != value:
            texts.append(dialect.format_set_value(name, value))
            connection.note_value(name, value)
    if statement.verb is statements.Verb.EXECUTE:
        texts.extend(
            _list_prepare_texts(dialect, connection, session, statement)
        )
    return [targets.Call("", text) for text in texts]


async def restore(dialect, connection, session, statement):
    """Restore the session state that a statement needs.

    Raises
    ------
    exceptions.NotSentError
        If the target refused a call; the connection must not be used
        then.
    exceptions.ConnectionLostError
        If the connection broke.
    """
    calls = list_restore_calls(dialect, connection, session, statement)
    if not calls:
        return
    for answer in await connection.link.call(calls):
        if not answer.is_success:
            raise exceptions.NotSentError(
                f"{connection.target.id}: session state refused:"
                f" {answer.outcome.value}"
            )


def _list_prepare_texts(dialect, connection, session, statement):
    name = statement.name
    wanted = session.prepared[name].definition
    known = connection.prepared.get(name)
    if known == wanted:
        return
    if known is not None:
        yield dialect.format_deallocate(name)
    yield dialect.format_prepare(name, wanted)
    connection.note_prepared(name, wanted)
