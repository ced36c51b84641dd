"""Bounded rates of the log, and a reader that is slow or has closed the stream."""

import json
import os

import pytest

from ragworthoist._logs import PERIOD_SECONDS, LogWriter
from ragworthoist._settings import LogSettings
from ragworthoist.events import LIFECYCLE_EVENTS, Event

SETTINGS = LogSettings(lines_per_second=10, bytes_per_second=100_000)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def log(writer, event, text=""):
    if writer.admit(event):
        writer({"message_type": event.name, "text": text})


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    raw = b""
    while True:
        try:
            part = os.read(descriptor, 65_536)
        except BlockingIOError:
            return [json.loads(line) for line in raw.splitlines()]
        if not part:
            return [json.loads(line) for line in raw.splitlines()]
        raw += part


def test_part_of_the_rate_is_reserved_for_failures(pipe):
    clock = Clock()
    writer = LogWriter(pipe[1], SETTINGS, clock)
    for _ in range(20):
        log(writer, Event.REQUEST_SERVED)
    for _ in range(20):
        log(writer, Event.REQUEST_FAILED)
    names = [line["message_type"] for line in read_lines(pipe[0])]
    assert names == ["REQUEST_SERVED"] * 5 + ["REQUEST_FAILED"] * 5
    assert writer.dropped == 30


@pytest.mark.parametrize("event", sorted(LIFECYCLE_EVENTS))
def test_lifecycle_events_are_logged_beyond_the_rates(pipe, event):
    writer = LogWriter(pipe[1], SETTINGS, Clock())
    for _ in range(20):
        log(writer, Event.REQUEST_FAILED)
    log(writer, event)
    assert read_lines(pipe[0])[-1]["message_type"] == event.name


def test_dropped_lines_are_reported_in_the_next_period(pipe):
    clock = Clock()
    writer = LogWriter(pipe[1], SETTINGS, clock)
    for _ in range(12):
        log(writer, Event.REQUEST_FAILED)
    clock.now = PERIOD_SECONDS
    log(writer, Event.REQUEST_FAILED)
    dropped_line, last = read_lines(pipe[0])[-2:]
    assert (dropped_line["number"], dropped_line["count"]) == (Event.LOG_LEFT_OUT, 2)
    assert last["message_type"] == "REQUEST_FAILED"


def test_stalled_reader_does_not_block_the_writer_and_gets_whole_lines(pipe):
    clock = Clock()
    settings = LogSettings(lines_per_second=10_000, bytes_per_second=100_000_000)
    writer = LogWriter(pipe[1], settings, clock)
    for _ in range(500):
        log(writer, Event.REQUEST_FAILED, "x" * 1000)
    assert writer.dropped > 0
    before = len(read_available_lines(pipe[0]))
    for _ in range(20):
        log(writer, Event.REQUEST_FAILED, "y")
    assert before > 0


def read_available_lines(descriptor):
    """Return the complete lines that can be read now, without a partial last line."""
    os.set_blocking(descriptor, False)
    raw = os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in raw.split(b"\n")[:-1]]


def test_closed_reader_does_not_block_the_writer():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LogWriter(writing, SETTINGS, Clock())
    log(writer, Event.REQUEST_FAILED)
    os.close(writing)
    assert writer.dropped == 1
