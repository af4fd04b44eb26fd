"""Decoding of the platform's store entries."""

import msgspec
import pytest

from geraniumridge._internal.decisions import view
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge_platform import records
from lib import proxies

SERVER = {
    "service": "ledger",
    "address": "10.0.0.9:80",
    "zone": "north",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmupLeftMs": 1500,
    "dbRole": "replica",
    "seq": 4,
    "born": 12,
}


def decode(key, data):
    return records.decode_record(key, msgspec.json.encode(data))


def test_instance_entry_decodes_to_a_target():
    found = decode("servers/i-1", SERVER)
    assert found.id == "i-1"
    assert (found.group, found.domain, found.slots) == ("ledger", "north", 3)
    assert found.warmup_left_s == 1.5
    assert found.role is desired.Role.REPLICA
    assert not found.is_draining
    assert found.started_ms == 12


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"dbRole": "leader"},
        {"capacity": "three"},
        {"address": None},
        {"service": 4},
    ],
)
def test_instance_entry_with_an_invalid_field_is_ignored(change):
    assert decode("servers/i-1", {**SERVER, **change}) is None


@pytest.mark.parametrize("missing", ["service", "address", "zone", "state"])
def test_instance_entry_with_a_missing_field_is_ignored(missing):
    data = {key: value for key, value in SERVER.items() if key != missing}
    assert decode("servers/i-1", data) is None


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"null", b"{"])
def test_undecodable_values_are_ignored(value):
    assert records.decode_record("servers/i-1", value) is None


def test_config_document_decodes_to_desired_state():
    found = decode("op/config", proxies.make_config(7))
    assert found.version == 7
    assert found.keys == {"key": "team"}
    route = found.routes["stock"]
    assert route.consistency is desired.Consistency.BOUNDED
    assert (route.timeout_s, route.latency_objective_s) == (1.0, 0.4)
    assert route.max_staleness_s == 1.5
    assert found.groups["ledger"].sync_replicas == 1
    assert found.transaction_idle_timeout_s == 0.5


def test_evacuation_decodes_to_its_domain():
    assert decode("op/evacuate/north", {}) == view.Evacuation("north")


@pytest.mark.parametrize(
    ("key", "record"),
    [
        (fleet.make_lead_key("g"), fleet.Lead("i-1", 2, "vm/boot", True)),
        (
            fleet.make_member_key("vm"),
            fleet.Member("vm", "n", "127.0.0.1:9", "b"),
        ),
        (
            fleet.make_acknowledgement_key("g", "vm"),
            fleet.Acknowledgement("vm", 9),
        ),
        (
            fleet.make_acknowledgement_key("g", "vm"),
            fleet.Acknowledgement(
                "vm", 9, fleet.CommitBound("boot", 1, 40, 7)
            ),
        ),
        (
            fleet.make_order_key("g"),
            fleet.PromotionOrder("i-1", 9, "vm"),
        ),
        (
            fleet.USAGE_REPORTER_KEY,
            fleet.UsageReporter("vm", "b", 4),
        ),
        (
            fleet.make_usage_key(353445120),
            fleet.UsageRecord(9, "vm", {"bode960": 412, "vocu161": 0}),
        ),
    ],
)
def test_own_records_round_trip(key, record):
    stored = fleet.encode_record(record)
    assert records.decode_record(key, stored) == record


def test_other_keys_are_ignored():
    assert decode("elsewhere/x", {"a": 1}) is None


@pytest.mark.parametrize(
    "address", ["", "nowhere", "10.0.0.9:", "10.0.0.9:99999", "a\0b:80"]
)
def test_instance_entry_with_a_malformed_address_names_no_target(address):
    assert decode("servers/i-1", {**SERVER, "address": address}) is None


def test_deeply_nested_entry_names_no_target():
    value = b'{"a":' * 100_000
    assert records.decode_record("servers/i-1", value) is None


@pytest.mark.parametrize(
    "value", [b"", b"[1]", b'{"term": -1}', b"[" * 99_999]
)
def test_unreadable_lead_and_order_still_bind_every_vm(value):
    """As no record, each VM would believe the roles that instances claim."""
    lead = records.decode_record(fleet.make_lead_key("g"), value)
    assert lead is fleet.UNREADABLE_LEAD and lead.is_pending
    order = records.decode_record(fleet.make_order_key("g"), value)
    assert order is fleet.UNREADABLE_ORDER


def test_fields_of_a_later_version_are_ignored():
    lead = fleet.Lead("i-1", 2, "vm-1", False)
    stored = {**lead._asdict(), "added_later": {"a": [1]}}
    assert decode(fleet.make_lead_key("g"), stored) == lead


def test_record_under_the_key_of_another_vm_is_ignored():
    member = fleet.Member("vm-1", "n", "127.0.0.1:9", "b")
    assert decode(fleet.make_member_key("vm-2"), member._asdict()) is None
    data = {"vm": "vm-1", "revision": 3}
    key = fleet.make_acknowledgement_key("g", "vm-2")
    assert decode(key, data) is None


@pytest.mark.parametrize(
    "window", ["", "-1", "1.5", "01", "x", "9" * 16, "1/2", "\u0661"]
)
def test_usage_record_whose_key_names_no_window_is_unreadable(window):
    record = fleet.UsageRecord(9, "vm", {"a": 1})
    key = f"{fleet.USAGE_RECORDS_PREFIX}{window}"
    assert fleet.parse_usage_window(key) is None
    found = decode(key, record._asdict())
    assert found is fleet.UNREADABLE_USAGE_RECORD
    assert not found.is_readable


def test_unreadable_usage_reporter_still_holds_its_key():
    found = records.decode_record(fleet.USAGE_REPORTER_KEY, b"{")
    assert found is fleet.UNREADABLE_USAGE_REPORTER
