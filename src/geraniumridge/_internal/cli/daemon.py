"""Entry point of ``geraniumridged``."""

import dataclasses
import sys
import typing

import cappa
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.models import settings as settings_model
from geraniumridge._internal import plugins  # noqa: F401
from geraniumridge._internal.utils import logs

EXIT_BAD_INPUT = 2
EXIT_FAILED = 1


@cappa.command(name="geraniumridged", help="Run the proxy on this VM.")
@dataclasses.dataclass
class Daemon:
    """Arguments of the daemon."""

    settings: typing.Annotated[str, cappa.Arg(help="TOML settings file.")]
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="Check the file and exit.")
    ] = False


def main():
    """Run the daemon until a signal stops it."""
    arguments = cappa.parse(Daemon, completion=False)
    try:
        settings = settings_model.load_settings(arguments.settings)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if arguments.check:
        print(f"{arguments.settings}: OK")
        return
    logs.configure_logging(settings.log.level, settings.vm.name)
    try:
        trio.run(_run, settings)
    except* exceptions.GeraniumridgeError as error_group:
        for error in error_group.exceptions:
            print(f"geraniumridged: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


async def _run(settings):
    await kernel.Kernel(settings).run()
