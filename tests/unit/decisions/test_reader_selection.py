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
    assert find(selector, now=reader_selection.AVOID_SILENT_S) == "a"


def test_vm_that_cannot_read_asks_the_next_member():
    selector = reader_selection.ReaderSelector("a", "north")
    selector.avoid("a", 0.0)
    assert find(selector) == "b"
    selector.avoid("b", 0.0)
    selector.avoid("c", 0.0)
    assert find(selector) is None


def test_member_that_told_of_a_change_is_asked_next():
    selector = reader_selection.ReaderSelector("b", "north")
    selector.avoid("c", 0.0)
    selector.prefer("c")
    assert find(selector) == "c"
    selector.note_useful("c")
    assert find(selector) == "a"


def test_useful_member_is_kept_while_the_first_ones_fail():
    selector = reader_selection.ReaderSelector("c", "north")
    selector.avoid("a", 0.0)
    assert find(selector) == "b"
    selector.note_useful("b")
    later = reader_selection.AVOID_SILENT_S
    assert find(selector, now=later) == "a"
    selector.avoid("a", later)
    assert find(selector, now=later) == "b"


def test_member_that_keeps_failing_is_tried_less_and_less_often():
    selector = reader_selection.ReaderSelector("b", "north")
    tried = []
    for step in range(2_000):
        now = step * 0.01
        if find(selector, now=now) == "a":
            tried.append(now)
            selector.avoid("a", now)
            selector.note_useful("b")
    gaps = [end - start for start, end in zip(tried, tried[1:], strict=False)]
    assert gaps == sorted(gaps)
    assert gaps[-1] >= reader_selection.MAX_AVOID_S - 0.01


def test_vm_that_answered_with_an_old_view_is_asked_again_sooner():
    selector = reader_selection.ReaderSelector("b", "north")
    selector.avoid("a", 0.0, reader_selection.AVOID_OUTDATED_S)
    assert find(selector, now=0.4) is None
    assert find(selector, now=reader_selection.AVOID_OUTDATED_S) == "a"


def test_half_of_the_neighbours_silent_do_not_hold_up_a_vm():
    """Half of a large domain is cut off; the first names are among it."""
    names = [f"vm-{number:02}" for number in range(40)]
    members = {name: fleets.make_member(name) for name in names}
    silent = {*names[:20], "vm-39"}
    selector = reader_selection.ReaderSelector("vm-39", "north")
    now = updated_at = longest_gap_s = 0.0
    while now < 60.0:
        reader = selector.find_reader(members, now)
        vm = "vm-39" if reader is None else reader.vm
        if vm in silent:
            selector.avoid(vm, now)
            now += 0.05
        else:
            selector.note_useful(vm)
            longest_gap_s = max(longest_gap_s, now - updated_at)
            updated_at = now
            now += 0.2
    assert longest_gap_s < 0.7
