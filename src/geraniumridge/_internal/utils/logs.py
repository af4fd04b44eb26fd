"""Structured logs: one JSON object per line on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logs


def configure_logging(level, vm):
    """Send all records to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Name of the lowest level that is written.
    vm : str
        Name of the VM, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_logs.JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
