"""Structured logs: one JSON object per line, bounded, never blocking."""

import logging
import os
import sys
import time

from pythonjsonlogger import json as json_logs

LINES_PER_S = 25
"""Lines a second for each kind of event; more are counted only."""

ERROR_LINES_PER_S = 100
"""The same for warnings and errors."""


class BudgetFilter(logging.Filter):
    """Bounds the lines a second of each kind of event.

    The first line of a kind after a second in which some were left out
    tells how many, as ``left_out``.
    """

    def __init__(self):
        super().__init__()
        self._second = 0
        self._counts = {}
        self._left_out = {}

    def filter(self, record):
        """Tell whether a record is written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
        event = getattr(record, "event", record.name)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        is_grave = record.levelno >= logging.WARNING
        if count > (ERROR_LINES_PER_S if is_grave else LINES_PER_S):
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return False
        left_out = self._left_out.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor, and drops them if nobody reads.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # Regular files never block.
            pass

    def emit(self, record):
        """Write one line, or count it as dropped."""
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
            if self._write(self._rest):
                self._rest = b""
                self._write(line, is_start=True)
        except Exception:
            self.handleError(record)

    def _write(self, data, is_start=False):
        """Write all of some data; tells whether that was possible."""
        try:
            sent = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            self.dropped += is_start
            return False
        if sent < len(data):
            self._rest = data[sent:]
            return False
        return True


def configure_logging(level, vm, descriptor=None):
    """Send all records as JSON lines to standard error or elsewhere.

    Parameters
    ----------
    level : str
        Name of the lowest level that is written.
    vm : str
        Name of the VM, added to each line.
    descriptor : int, optional
        File descriptor that lines go to.
    """
    if descriptor is None:
        descriptor = sys.stderr.fileno()
    handler = DroppingHandler(descriptor)
    handler.addFilter(BudgetFilter())
    formatter = json_logs.JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
