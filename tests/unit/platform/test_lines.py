"""Line protocol: framing, statements, answers and arbitrary bytes."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import records
from geraniumridge._internal.models import statements
from geraniumridge_platform import lines

Verb = statements.Verb
Outcome = statements.Outcome


def read_all(buffer):
    found = []
    while (line := buffer.next_line()) is not None:
        found.append(line)
    return found


@given(
    st.lists(
        st.binary(max_size=20).filter(
            lambda line: b"\r" not in line and b"\n" not in line
        )
    ),
    st.lists(st.integers(1, 7)),
)
def test_lines_are_complete_however_bytes_are_split(sent, sizes):
    data = b"".join(line + lines.LINE_END for line in sent)
    buffer = lines.LineBuffer()
    found = []
    for size in sizes:
        buffer.feed(data[:size])
        data = data[size:]
        found.extend(read_all(buffer))
    buffer.feed(data)
    found.extend(read_all(buffer))
    assert found == sent


def test_line_longer_than_the_limit_raises():
    buffer = lines.LineBuffer()
    buffer.feed(b"x" * (lines.MAX_LINE_BYTES + 1))
    with pytest.raises(exceptions.ProtocolError):
        buffer.next_line()


def feed_pieces(buffer, data, sizes):
    """Feed data in pieces; return the lines and whether it was refused."""
    found = []
    position = 0
    for size in [*sizes, len(data)]:
        buffer.feed(data[position : position + size])
        position += size
        try:
            found.extend(read_all(buffer))
        except exceptions.ProtocolError:
            return found, True
        if position >= len(data):
            break
    return found, False


@given(
    st.lists(st.sampled_from([b"\r\n", b"\r", b"\n", b"x", b"xxxxxxx"])),
    st.lists(st.integers(1, 5)),
)
def test_any_bytes_in_any_pieces_end_in_lines_or_an_error(parts, sizes):
    """A sequence that is neither would make the buffer grow without end."""
    data = b"".join(parts)
    buffer = lines.LineBuffer(max_line_bytes=8)
    found, is_refused = feed_pieces(buffer, data, sizes)
    *whole, rest = data.split(lines.LINE_END)
    if is_refused:
        assert any(len(line) > 8 for line in (*whole, rest))
        assert found == whole[: len(found)]
    else:
        assert found == whole
        assert all(len(line) <= 8 for line in whole)
        # The line may be complete but for half of its end.
        assert len(buffer) == len(rest) <= 9


@given(st.integers(0, 12), st.integers(1, 4))
def test_whether_a_line_is_too_long_does_not_depend_on_the_pieces(
    length, size
):
    """A longest line was refused if its end arrived in two pieces."""
    data = b"x" * length + lines.LINE_END
    buffer = lines.LineBuffer(max_line_bytes=8)
    found, is_refused = feed_pieces(buffer, data, [size] * len(data))
    assert is_refused == (length > 8)
    assert found == ([] if is_refused else [b"x" * length])


class CountingBytes(bytearray):
    """Buffer that counts the bytes that are searched."""

    searched = 0

    def find(self, wanted, start=0):
        self.searched += len(self) - start
        return super().find(wanted, start)


def test_pieces_of_one_byte_are_searched_once():
    """A search from the start for each piece has quadratic cost."""
    buffer = lines.LineBuffer()
    buffer._data = CountingBytes()
    for _ in range(10_000):
        buffer.feed(b"x")
        assert buffer.next_line() is None
    buffer.feed(lines.LINE_END)
    searched = buffer._data.searched
    assert buffer.next_line() == b"x" * 10_000
    assert searched <= 3 * 10_000


def test_cleared_buffer_holds_nothing():
    buffer = lines.LineBuffer()
    buffer.feed(b"x" * 100)
    buffer.clear()
    buffer.feed(b"a\r\n")
    assert read_all(buffer) == [b"a"]
    assert not buffer


@given(st.binary(max_size=60))
def test_arbitrary_bytes_parse_to_a_statement_or_none(data):
    found = lines.parse_statement(data)
    assert found is None or found.text in data


@pytest.mark.parametrize(
    ("text", "verb"),
    [
        ("BEGIN", Verb.BEGIN),
        ("BEGIN READ", Verb.BEGIN),
        ("COMMIT", Verb.COMMIT),
        ("ROLLBACK", Verb.ROLLBACK),
        ("READ 1a4", Verb.READ),
        ("WRITE 1a4 some data here", Verb.WRITE),
        ("SET name value", Verb.SET),
        ("PREPARE s1 READ q2", Verb.PREPARE),
        ("EXECUTE s1 1a4 data", Verb.EXECUTE),
        ("DEALLOC s1", Verb.DEALLOCATE),
    ],
)
def test_statements_keep_id_and_text(text, verb):
    found = lines.parse_statement(f"id-1 {text}".encode())
    assert (found.id, found.verb) == ("id-1", verb)
    assert found.text == text.encode()


def test_fields_of_statements_are_decoded():
    prepare = lines.parse_statement(b"i PREPARE s1 WRITE q2 x")
    assert (prepare.name, prepare.detail) == ("s1", "WRITE q2 x")
    assert prepare.is_write
    assert lines.parse_statement(b"i BEGIN READ").is_read_only
    value = lines.parse_statement(b"i SET zone two words")
    assert (value.name, value.detail) == ("zone", "two words")


@pytest.mark.parametrize(
    "fields",
    [
        b"",
        b"id",
        b" READ x",
        b"id NOPE x",
        b"id BEGIN WRITE",
        b"id COMMIT now",
        b"id READ",
        b"id WRITE item",
        b"id SET",
        b"id PREPARE s1",
        b"id PREPARE s1 NOPE q",
        b"id PREPARE s1 READ",
        b"id EXECUTE",
        b"id \xff\xfe",
    ],
)
def test_malformed_statements_are_none(fields):
    assert lines.parse_statement(fields) is None


def parse_answer(*sent):
    parser = lines.AnswerParser()
    for line in sent[:-1]:
        assert parser.feed_line(line) is None
    return parser.feed_line(sent[-1])


def test_answer_of_an_instance_is_parsed():
    answer = parse_answer(
        b"ROW a b", b"ROW c", b"COMPLETE 7.x", b"READY T 3.9"
    )
    assert answer.rows == (b"a b", b"c")
    assert answer.digest == b"7.x"
    assert answer.is_success
    assert answer.state is statements.TransactionState.OPEN
    assert answer.position == records.LogPosition(3, 9)


@pytest.mark.parametrize(("code", "outcome"), lines.OUTCOMES_BY_CODE.items())
def test_each_error_code_maps_to_its_outcome(code, outcome):
    answer = parse_answer(b"ERROR " + code + b" i-1", b"READY E -")
    assert answer.outcome is outcome
    assert answer.position is None


@given(st.binary(max_size=30))
def test_arbitrary_line_is_accepted_or_raises_protocol_error(line):
    try:
        lines.AnswerParser().feed_line(line)
    except exceptions.ProtocolError:
        pass


def test_format_answers_to_callers():
    answer = statements.Answer(rows=(b"a",), digest=b"d")
    assert (
        lines.format_answer(answer) == b"ROW a\r\nCOMPLETE d\r\nREADY I -\r\n"
    )
    refused = statements.Answer(
        outcome=Outcome.OVERLOADED,
        detail="two\r\nlines",
        state=statements.TransactionState.FAILED,
    )
    expected = b"ERROR BUSY two  lines\r\nREADY E -\r\n"
    assert lines.format_answer(refused) == expected


@given(st.integers(0, 10**9), st.integers(0, 10**9))
def test_positions_round_trip(term, number):
    position = records.LogPosition(term, number)
    assert lines.parse_position(lines.format_position(position)) == position
