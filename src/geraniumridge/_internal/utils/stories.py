"""Finds in the logs of many VMs what decided one request."""

import json
import typing

BELIEFS = {
    "store_lost",
    "store_regained",
    "store_relist",
    "lease_lost",
    "primary_given_up",
    "lead_marked",
    "lead_not_marked",
    "lead_released",
    "lead_settled",
    "successor_chosen",
    "no_successor_proved",
    "promotion_ordered",
    "promotion_in_doubt",
    "limiter_silent",
    "reload",
    "stopping",
    "started",
}
"""Events that change what a VM believes."""

BEFORE_S = 10.0
"""How long before a request changes of belief are of interest."""


class Line(typing.NamedTuple):
    """One line of a log; `at` is its time of day, as written."""

    at: str
    vm: str
    event: str
    fields: dict[str, typing.Any]


def read_lines(files):
    """Yield the structured lines of open text files.

    Lines of other kinds, and text before a JSON object, are skipped.
    """
    for file in files:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                data = json.loads(text[start:])
            except ValueError:
                continue
            if isinstance(data, dict) and "event" in data and "time" in data:
                yield _make_line(data)


def _make_line(data):
    hidden = ("time", "vm", "event", "level", "name", "message")
    fields = {key: value for key, value in data.items() if key not in hidden}
    return Line(data["time"], data.get("vm", ""), data["event"], fields)


def find_story(lines, request):
    """Return a request's lines, and the beliefs before each.

    Parameters
    ----------
    lines : iterable of Line
        Lines of all VMs, in any order.
    request : str
        The request's id.

    Returns
    -------
    list of Line
        In the order of their times. Changes of belief are those of the
        VMs that the request came to, and of the change of any lead.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return []
    vms = {line.vm for line in own}
    first = _seconds(own[0].at) - BEFORE_S
    last = own[-1].at
    return [
        line
        for line in known
        if line in own
        or line.event in BELIEFS
        and (line.vm in vms or line.event.startswith("lead"))
        and _seconds(line.at) >= first
        and line.at <= last
    ]


def _seconds(at):
    """Return the time of day of ``YYYY-MM-DD HH:MM:SS,mmm`` lines."""
    clock = at.replace(",", ".").split(" ")[-1]
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
