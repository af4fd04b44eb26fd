"""Choice of the VM of a domain that reads the store."""

from geraniumridge._internal.decisions import reader_selection
from lib import fleets

MEMBERS = {name: fleets.make_member(name) for name in ("a", "b", "c")}


def find(selector, members=MEMBERS, now=0.0):
    found = selector.find_reader(members, now)
    return found and found.vm


def test_first_member_of_a_domain_reads():
    assert find(reader_selection.ReaderSelector("b", "north")) == "a"
    assert find(reader_selection.ReaderSelector("a", "north")) is None


def test_members_of_other_domains_are_not_asked():
    other = fleets.make_member("0")._replace(domain="south")
    members = {**MEMBERS, "0": other}
    assert find(reader_selection.ReaderSelector("b", "north"), members) == "a"


def test_unregistered_vm_asks_or_reads():
    assert find(reader_selection.ReaderSelector("new", "north")) == "a"
    assert find(reader_selection.ReaderSelector("new", "west")) is None


def test_member_without_a_useful_answer_is_skipped_for_a_while():
    selector = reader_selection.ReaderSelector("b", "north")
    selector.avoid("a", 0.0)
    assert find(selector, now=1.0) is None
    assert find(selector, now=reader_selection.AVOID_AFTER_FAILURE_S) == "a"


def test_vm_that_cannot_read_asks_the_next_member():
    selector = reader_selection.ReaderSelector("a", "north")
    selector.avoid("a", 0.0)
    assert find(selector) == "b"
    selector.avoid("b", 0.0)
    selector.avoid("c", 0.0)
    assert find(selector) is None


def test_clear_avoided_considers_every_member_again():
    selector = reader_selection.ReaderSelector("b", "north")
    selector.avoid("a", 0.0)
    selector.clear_avoided()
    assert find(selector) == "a"
