"""JSON log lines: rate limit per event, writes without blocking."""

import json
import logging
import os

from geraniumridge._internal.utils import logs


def make_record(event, level=logging.INFO):
    record = logging.LogRecord("n", level, "p", 1, "m", (), None)
    record.event = event
    return record


def test_lines_of_each_event_are_limited(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    rate_filter = logs.EventRateFilter()
    passed = [rate_filter.filter(make_record("flood")) for _ in range(200)]
    assert sum(passed) == logs.MAX_LINES_PER_EVENT_PER_S
    assert rate_filter.filter(make_record("other"))
    now[0] += 1
    record = make_record("flood")
    assert rate_filter.filter(record)
    assert record.left_out == 200 - logs.MAX_LINES_PER_EVENT_PER_S


def test_full_pipe_drops_lines_without_blocking():
    reader, writer = os.pipe()
    handler = logs.NonBlockingHandler(writer)
    handler.setFormatter(logging.Formatter("%(message)s" + "x" * 999))
    for _ in range(500):
        handler.emit(make_record("flood"))
    assert handler.dropped_lines > 0
    data = b""
    os.set_blocking(reader, False)
    while True:
        try:
            data += os.read(reader, 65536)
        except BlockingIOError:
            break
    handler.emit(make_record("after"))
    data += os.read(reader, 65536)
    assert {len(line) for line in data.splitlines()} == {1000}
    os.close(reader)
    os.close(writer)


def test_lines_are_json_and_name_the_vm(tmp_path):
    path = tmp_path / "log"
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    try:
        logs.configure_logging("INFO", "vm-1", descriptor)
        logging.getLogger("a").info("hello", extra={"event": "greeting"})
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
        os.close(descriptor)
    line = json.loads(path.read_text())
    assert line["vm"] == "vm-1"
    assert line["event"] == "greeting"
