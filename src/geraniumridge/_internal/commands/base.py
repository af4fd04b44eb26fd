"""Functions and options that the operators' commands share."""

import getpass
import json
import typing

import cappa
from rich import console
from rich import table
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import settings
from geraniumridge._internal.network import configstore
from geraniumridge._internal.network import http
from geraniumridge._internal.network import platform
from geraniumridge._internal.network import streams

PLATFORM_TIMEOUT_S = 5.0
"""Bounds one wait for an answer from the platform."""

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class Options(typing.NamedTuple):
    """Options common to all commands."""

    platform: str
    author: str
    secret: str
    as_json: bool
    tls: settings.TlsSettings | None = None


def make_exit(message, code=EXIT_FAILED):
    """Return the exception that exits the tool with a message."""
    return cappa.Exit(message, code=code)


def run_with_client(function, options):
    """Run an async function and map its errors to exit codes.

    Parameters
    ----------
    function : callable
        Async function that takes a platform client.
    options : Options
        The common options.

    Returns
    -------
    object
        What the function returns.

    Raises
    ------
    cappa.Exit
        If the function raises an error of the project.
    """
    try:
        return trio.run(_call_with_client, function, options)
    except exceptions.SettingsError as error:
        raise make_exit(str(error), EXIT_BAD_INPUT)
    except exceptions.ConflictError as error:
        raise make_exit(str(error), EXIT_CONFLICT)
    except (
        exceptions.PlatformUnavailableError,
        exceptions.NetworkError,
    ) as error:
        raise make_exit(str(error), EXIT_UNAVAILABLE)
    except exceptions.GeraniumridgeError as error:
        raise make_exit(str(error))


async def _call_with_client(function, options):
    client = platform.PlatformClient(options.platform, PLATFORM_TIMEOUT_S)
    return await function(client)


def get_author(options):
    """Return the author to record with a change."""
    return options.author or getpass.getuser()


def commit_edits(options, make_edits):
    """Commit edits of the latest configuration.

    Parameters
    ----------
    options : Options
        The common options.
    make_edits : callable
        Function from a `config.Document` to a list of `config.Edit`.

    Returns
    -------
    int
        Version of the configuration that includes the edits.
    """

    async def load_and_commit(client):
        loaded = await configstore.load_chain(client)
        edits = make_edits(loaded.document)
        author = get_author(options)
        return await configstore.commit_edits(client, loaded, author, edits)

    return run_with_client(load_and_commit, options)


def commit_and_print(options, make_edits):
    """Commit edits and print the resulting version."""
    version = commit_edits(options, make_edits)
    if options.as_json:
        print(json.dumps({"version": version}))
    else:
        print(f"accepted as version {version}")


def print_rows(options, columns, rows):
    """Print rows as a table, or as a list of JSON objects."""
    if options.as_json:
        data = [dict(zip(columns, row)) for row in rows]
        print(json.dumps(data, indent=2))
        return
    grid = table.Table(box=None, pad_edge=False)
    for column in columns:
        grid.add_column(column, overflow="fold")
    for row in rows:
        grid.add_row(*[format_cell(item) for item in row])
    console.Console(soft_wrap=True).print(grid)


def format_cell(item):
    """Return the text of a table cell."""
    if isinstance(item, (dict, list)):
        return json.dumps(item)
    return str(item)


async def fetch_page(options, vm, page):
    """Return an operators' page of a VM, or None without an answer."""
    headers = []
    if options.secret:
        headers.append(("Authorization", f"Bearer {options.secret}"))
    try:
        tls = streams.make_client_context(options.tls)
        response = await http.fetch(
            vm.operators, "GET", page, headers=headers, tls=tls
        )
    except exceptions.NetworkError:
        return None
    data = json.loads(response.body)
    if response.status == 401:
        raise exceptions.NetworkError(f"{vm.name}: {data['detail']}")
    return data


async def fetch_pages(options, client, page):
    """Yield each listed VM with its page, or None without an answer."""
    for vm in await client.list_vms():
        yield vm, await fetch_page(options, vm, page)
