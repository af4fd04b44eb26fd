"""Which VM of a domain reads the store."""

from geraniumridge._internal.decisions import reader_selection
from lib import fleets

MEMBERS = {name: fleets.make_member(name) for name in ("a", "b", "c")}


def find(readers, members=MEMBERS, now=0.0):
    found = readers.find_reader(members, now)
    return found and found.vm


def test_the_first_member_of_a_domain_reads():
    assert find(reader_selection.ReaderSelector("b", "north")) == "a"
    assert find(reader_selection.ReaderSelector("a", "north")) is None


def test_members_of_other_domains_are_not_asked():
    other = fleets.make_member("0")._replace(domain="south")
    members = {**MEMBERS, "0": other}
    assert find(reader_selection.ReaderSelector("b", "north"), members) == "a"


def test_who_is_not_registered_yet_asks_or_reads():
    assert find(reader_selection.ReaderSelector("new", "north")) == "a"
    assert find(reader_selection.ReaderSelector("new", "west")) is None


def test_a_member_without_news_is_passed_over_for_a_while():
    readers = reader_selection.ReaderSelector("b", "north")
    readers.avoid("a", 0.0)
    assert find(readers, now=1.0) is None
    assert find(readers, now=reader_selection.AVOID_AFTER_FAILURE_S) == "a"


def test_who_cannot_read_asks_the_next():
    readers = reader_selection.ReaderSelector("a", "north")
    readers.avoid("a", 0.0)
    assert find(readers) == "b"
    readers.avoid("b", 0.0)
    readers.avoid("c", 0.0)
    assert find(readers) is None


def test_news_gives_all_a_new_try():
    readers = reader_selection.ReaderSelector("b", "north")
    readers.avoid("a", 0.0)
    readers.clear_avoided()
    assert find(readers) == "a"
