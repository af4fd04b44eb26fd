"""Brings a connection to the session state that a statement needs."""

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import statements
from geraniumridge._internal.ports import targets


def list_calls(dialect, pooled, session, statement):
    """Return the calls that prepare a connection for a statement.

    The bookkeeping of `pooled` is changed as if they had succeeded; the
    caller drops the connection if one does not.

    Parameters
    ----------
    dialect : ports.targets.Dialect
        How targets are spoken to.
    pooled : proxy.pool.PooledLink
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
    if pooled.values.keys() - session.values.keys():
        texts.append(dialect.format_reset())
        pooled.values.clear()
        pooled.prepared.clear()
    for name, value in session.values.items():
        if pooled.values.get(name) != value:
            texts.append(dialect.format_set_value(name, value))
            pooled.values[name] = value
    if statement.verb is statements.Verb.EXECUTE:
        texts.extend(_list_prepares(dialect, pooled, session, statement))
    return [targets.Call("", text) for text in texts]


async def replay(dialect, pooled, session, statement):
    """Prepare a connection for a statement.

    Raises
    ------
    exceptions.NotSentError
        If the target refused a part; the connection is of no use then.
    exceptions.ConnectionLostError
        If the connection broke.
    """
    calls = list_calls(dialect, pooled, session, statement)
    if not calls:
        return
    for answer in await pooled.link.call(calls):
        if not answer.is_success:
            raise exceptions.NotSentError(
                f"{pooled.target.id}: session state refused:"
                f" {answer.outcome.value}"
            )


def _list_prepares(dialect, pooled, session, statement):
    name = statement.name
    wanted = session.prepared[name].definition
    known = pooled.prepared.get(name)
    if known == wanted:
        return
    if known is not None:
        yield dialect.format_deallocate(name)
    yield dialect.format_prepare(name, wanted)
    pooled.prepared[name] = wanted
