"""Brings a connection to the session state that a statement needs."""

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.ports import targets


def list_restore_calls(dialect, connection, session, statement):
    """Return the calls that prepare a connection for a statement.

    The bookkeeping of `connection` is changed as if they had succeeded;
    the caller drops the connection if one does not.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        How targets are spoken to.
    connection : proxy.pool.PooledConnection
        The connection.
    session : proxy.session.Session
        Whose values and prepared statements are wanted.
    statement : statements.Statement
        What will run.

    Returns
    -------
    list of ports.targets.Call
    """
    texts = []
    if connection.values.keys() - session.values.keys():
        texts.append(dialect.reset())
        connection.values.clear()
        connection.prepared.clear()
    for name, value in session.values.items():
        if connection.values.get(name) != value:
            texts.append(dialect.set_value(name, value))
            connection.values[name] = value
    if statement.verb is statements.Verb.EXECUTE:
        texts.extend(
            _list_prepare_texts(dialect, connection, session, statement)
        )
    return [targets.Call("", text) for text in texts]


async def restore(dialect, connection, session, statement):
    """Prepare a connection for a statement.

    Raises
    ------
    exceptions.NotSentError
        If the target refused a part; the connection is of no use then.
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
        yield dialect.deallocate(name)
    yield dialect.prepare(name, wanted)
    connection.prepared[name] = wanted
