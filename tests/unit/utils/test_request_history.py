"""Request history: a request's log lines and the state changes before."""

import io
import json

from geraniumridge._internal.utils import request_history


def make_line(at, vm, event, **fields):
    data = {"time": f"2026-01-01 00:00:{at}", "vm": vm, "event": event}
    return json.dumps({**data, **fields})


def find(request, *lines):
    files = [io.StringIO("\n".join(lines))]
    return [
        (line.vm, line.event)
        for line in request_history.find_history(
            request_history.read_lines(files), request
        )
    ]


def test_history_has_the_request_and_state_changes_before_it():
    found = find(
        "r1",
        make_line("20,000", "vm-1", "refused", request="r1"),
        make_line("19,000", "vm-1", "store_lost"),
        make_line("19,500", "vm-2", "store_lost"),
        make_line("18,000", "vm-2", "lead_marked", group="g"),
        make_line("05,000", "vm-1", "store_regained"),
        make_line("21,000", "vm-1", "store_regained"),
        make_line("20,000", "vm-1", "refused", request="r2"),
    )
    assert found == [
        ("vm-2", "lead_marked"),
        ("vm-1", "store_lost"),
        ("vm-1", "refused"),
    ]


def test_an_unknown_request_has_no_history():
    assert find("r9", make_line("20,000", "vm", "refused", request="r")) == []


def test_unstructured_lines_are_skipped():
    found = find(
        "r1",
        "not json",
        "{broken",
        "[1]",
        "12.5 vm-1 " + make_line("20,000", "vm-1", "served", request="r1"),
    )
    assert found == [("vm-1", "served")]
