"""Search in the logs of several VMs for what decided one request.

The logs are those of the proxy on the users' platform, which name a request
in the field `request`. The daemon with the HTTP interface has `request_id`.
"""

import json
import typing

STATE_EVENTS = {
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
    "promotion_sent",
    "promotion_not_sent",
    "promotion_refused",
    "waiting_for_an_earlier_order",
    "promotion_ordered",
    "promotion_in_doubt",
    "limiter_silent",
    "reload",
    "stopping",
    "started",
}
"""Events that change the state by which a VM decides on requests.

They concern its store view, leadership records, failovers, the rate
limiter, its settings, and its start and stop.
"""

STATE_LOOKBACK_S = 10.0
"""How long before a request's first line state changes are included."""


class LogLine(typing.NamedTuple):
    """One structured log line; `time` is its timestamp as written."""

    time: str
    vm: str
    event: str
    fields: dict[str, typing.Any]


def read_lines(files):
    """Yield the structured lines of open text files.

    Text before a JSON object is skipped, and so are lines without an
    object that has a time and an event.
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
                yield _parse_line(data)


def _parse_line(data):
    omitted = ("time", "vm", "event", "level", "name", "message")
    fields = {key: value for key, value in data.items() if key not in omitted}
    return LogLine(data["time"], data.get("vm", ""), data["event"], fields)


def find_history(lines, request):
    """Return a request's log lines and the state changes before them.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all VMs, in any order.
    request : str
        The request's id, as in the field `request` of the lines.

    Returns
    -------
    list of LogLine
        Ordered by time. State changes are those of the VMs that logged
        the request; changes of leadership records are those of all VMs.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [
        line for line in ordered if line.fields.get("request") == request
    ]
    if not request_lines:
        return []
    vms = {line.vm for line in request_lines}
    start_s = _parse_time_of_day_s(request_lines[0].time) - STATE_LOOKBACK_S
    end_time = request_lines[-1].time
    return [
        line
        for line in ordered
        if line in request_lines
        or line.event in STATE_EVENTS
        and (line.vm in vms or line.event.startswith("lead"))
        and _parse_time_of_day_s(line.time) >= start_s
        and line.time <= end_time
    ]


def _parse_time_of_day_s(timestamp):
    """Return the seconds since midnight of a log line's timestamp.

    Its format is ``YYYY-MM-DD HH:MM:SS,mmm``.
    """
    clock = timestamp.replace(",", ".").split(" ")[-1]
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
