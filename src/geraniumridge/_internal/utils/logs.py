"""JSON log lines, limited in rate and written without blocking."""

import logging
import os
import sys
import time

from pythonjsonlogger import json as json_logs

MAX_LINES_PER_EVENT_PER_S = 25
"""Bounds the lines per second of one event, below the level WARNING.

Lines above the limit are only counted, see `EventRateFilter`.
"""

MAX_WARNINGS_PER_EVENT_PER_S = 100
"""Bounds the lines per second of one event, from WARNING upwards."""


class EventRateFilter(logging.Filter):
    """Rate limit on the log lines of each event.

    A record without an event counts under the name of its logger. The
    next line of the event that is written carries the number of lines
    left out before it, as ``left_out``.
    """

    def __init__(self):
        super().__init__()
        self._second = 0
        self._line_counts = {}
        self._left_out_counts = {}

    def filter(self, record):
        """Return whether a record is within the limit of its event."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_counts.clear()
        event = getattr(record, "event", record.name)
        count = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = count
        is_warning = record.levelno >= logging.WARNING
        if count > (
            MAX_WARNINGS_PER_EVENT_PER_S
            if is_warning
            else MAX_LINES_PER_EVENT_PER_S
        ):
            self._left_out_counts[event] = (
                self._left_out_counts.get(event, 0) + 1
            )
            return False
        left_out = self._left_out_counts.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True


class NonBlockingHandler(logging.Handler):
    """Handler that drops lines instead of waiting for a slow reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._unsent = b""
        self.dropped_lines = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # Regular files never block.
            pass

    def emit(self, record):
        """Write one line, or drop it if the descriptor is full.

        The rest of a line that was written in part is sent first, so
        that lines stay whole.
        """
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
            if self._try_write(self._unsent):
                self._unsent = b""
                self._try_write(line, is_line_start=True)
        except Exception:
            self.handleError(record)

    def _try_write(self, data, is_line_start=False):
        """Write data, keep what was not sent; return whether all was."""
        try:
            sent = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            self.dropped_lines += is_line_start
            return False
        if sent < len(data):
            self._unsent = data[sent:]
            return False
        return True


def configure_logging(level, vm, descriptor=None):
    """Write all log records as JSON lines to a file descriptor.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    vm : str
        Name of the VM, added to each line.
    descriptor : int, optional
        File descriptor to write to; standard error by default.
    """
    if descriptor is None:
        descriptor = sys.stderr.fileno()
    handler = NonBlockingHandler(descriptor)
    handler.addFilter(EventRateFilter())
    formatter = json_logs.JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
