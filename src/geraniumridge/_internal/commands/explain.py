"""Command that tells what decided one request."""

import contextlib
import dataclasses

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal.utils import request_history


@cappa.command(name="explain", help="Tell from logs what decided a request.")
@dataclasses.dataclass
class Explain:
    """Story of a request: its lines and the beliefs behind them."""

    request: str
    files: list[str]

    def run(self, options):
        """Print the history in the order of time."""
        with contextlib.ExitStack() as stack:
            try:
                opened = [
                    stack.enter_context(
                        open(name, encoding="utf-8", errors="replace")
                    )
                    for name in self.files
                ]
            except OSError as error:
                raise base.make_exit(str(error), base.EXIT_BAD_INPUT)
            history = request_history.find_history(
                request_history.read_lines(opened), self.request
            )
        if not history:
            raise base.make_exit(
                f"{self.request}: not in these logs; ask for the logs of"
                " every VM, and note that floods are logged in part"
            )
        rows = [
            [line.time, line.vm, line.event, _format_fields(line.fields)]
            for line in history
        ]
        base.print_rows(options, ["time", "vm", "event", "with"], rows)


def _format_fields(fields):
    return " ".join(f"{key}={value}" for key, value in fields.items())
