"""Records of members that the store, an exchange or a datagram brings."""

import pytest

from ragworthoist.core.members import Member, Message, MessageKind, unpack_members

MEMBER = Member(b"12345678", "shop", "main", "a", "10.0.0.1", 7000)

# Fields of a record by position, each with a value that no node writes.
ODD_FIELDS = [
    (0, []),
    (0, 1),
    (0, b""),
    (0, b"x" * 1000),
    (1, 5),
    (1, "s" * 1000),
    (3, None),
    (4, 5),
    (4, "no.such.name"),
    (4, "h" * 1_000_000),
    (4, "10.0.0.1\0"),
    (5, -1),
    (5, 65_536),
    (5, 70_000),
    (5, "7000"),
    (5, 70.5),
    (5, True),
    (6, -1),
    (6, 2**63),
    (6, float("nan")),
    (7, 9),
    (7, []),
]


def make_odd_record(place, value):
    record = MEMBER.pack()
    record[place] = value
    return record


@pytest.mark.parametrize(("place", "value"), ODD_FIELDS)
def test_odd_record_of_another_writer_becomes_a_member(place, value):
    records = [make_odd_record(place, value), MEMBER.pack()]
    members, errors = unpack_members(records)
    assert (members, len(errors)) == ([MEMBER], 1)


@pytest.mark.parametrize("record", [None, [], {}, "text", 5, [1, 2]])
def test_entry_that_is_no_record_ends_the_reading_of_the_others(record):
    members, errors = unpack_members([record, MEMBER.pack()])
    assert (members, len(errors)) == ([MEMBER], 1)


def test_datagram_with_an_odd_record_is_refused_whole():
    message = Message(MessageKind.PING, b"1", 1, b"", 3, 0, [MEMBER], [])
    fields = message.pack()
    fields[6].insert(0, make_odd_record(5, 70_000))
    assert Message.unpack(fields) == message


@pytest.mark.parametrize("records", [None, 5, b"text", {}])
def test_exchange_without_a_list_of_records_ends_the_task(records):
    members, errors = unpack_members(records)
    assert (members, len(errors)) == ([], 1)
