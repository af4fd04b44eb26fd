"""Command that shows what decided one request.

It reads logs of the proxy on the users' platform, not those of the daemon
with the HTTP interface.
"""

import contextlib
import dataclasses

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal.utils import request_history


@cappa.command(name="explain", help="Show from logs what decided a request.")
@dataclasses.dataclass
class Explain:
    """Log lines of a request and the state changes before them."""

    request: str
    files: list[str]

    def run(self, options):
        """Print the lines in order of time."""
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
                f"{self.request}: no such request in these logs; pass the"
                " logs of every VM, and note that lines above the rate limit"
                " of their event are not logged"
            )
        rows = [
            [line.time, line.vm, line.event, _format_fields(line.fields)]
            for line in history
        ]
        base.print_rows(options, ["time", "vm", "event", "with"], rows)


def _format_fields(fields):
    return " ".join(f"{key}={value}" for key, value in fields.items())
