"""Numbered log events.

Every line that a process logs is one of these events. `docs/EVENTS.md` describes
them for operators; a test checks that it lists the same events.
"""

from enum import IntEnum

import eliot


class Event(IntEnum):
    """All events by number."""

    NODE_STARTED = 100
    NODE_SERVING = 101
    NODE_LEAVING = 102
    NODE_STOPPED = 103
    NODE_READY = 104
    SETTINGS_RELOADED = 105
    SERVER_ANNOUNCED = 110
    SERVER_STATE_CHANGED = 111
    REPORT_REFUSED = 112
    SERVER_RATE_CHANGED = 113
    SERVER_RATE_REFUSED = 114
    MEMBER_CHANGED = 200
    NODE_WAS_PAUSED = 201
    DATAGRAM_REFUSED = 202
    PEER_CONNECTED = 210
    PEER_LOST = 211
    PEER_REFUSED = 212
    PEER_DOUBTED = 213
    CONNECTION_ABANDONED = 214
    CONNECTION_EVICTED = 215
    CONFIGURATION_ADOPTED = 300
    CONFIGURATION_REFUSED = 301
    CONFIGURATION_OLDER = 302
    STORE_UNAVAILABLE = 310
    STORE_AVAILABLE = 311
    WATCH_LOST = 312
    REQUEST_SERVED = 400
    REQUEST_REFUSED = 401
    REQUEST_FAILED = 402
    REQUEST_MALFORMED = 403
    CALLER_LEFT = 404
    ANSWER_CUT = 405
    CALL_HANDED = 410
    CALL_REFUSED = 411
    CALL_FAILED = 412
    ATTEMPT_REPEATED = 420
    TASK_FAILED = 900
    LOG_LEFT_OUT = 901


# Events of successful requests. When the log rate is exceeded, they are dropped
# before all others.
ROUTINE_EVENTS = frozenset({Event.REQUEST_SERVED, Event.CALL_HANDED})

# State changes of the process and of its dependencies. They are far fewer than
# requests and explain the events after them, so they are exempt from the log rate.
LIFECYCLE_EVENTS = frozenset(
    {
        Event.NODE_STARTED,
        Event.NODE_SERVING,
        Event.NODE_READY,
        Event.NODE_LEAVING,
        Event.NODE_STOPPED,
        Event.NODE_WAS_PAUSED,
        Event.SETTINGS_RELOADED,
        Event.SERVER_STATE_CHANGED,
        Event.SERVER_RATE_CHANGED,
        Event.CONFIGURATION_ADOPTED,
        Event.CONFIGURATION_REFUSED,
        Event.STORE_UNAVAILABLE,
        Event.STORE_AVAILABLE,
    }
)

_filters = []


def add_filter(event_filter):
    """Log only events for which `event_filter(event)` is true.

    If several filters were added, all of them have to accept an event.
    """
    _filters.append(event_filter)


def is_logged(event):
    """Return whether all filters accept `event`.

    A caller can use it to compute the fields only of events that are logged. Because a
    filter counts each event that it rejects as dropped, the caller then has to use
    `write_event`: `log_event` would apply the filters a second time.
    """
    for event_filter in _filters:  # noqa: SIM110 - runs twice for each call
        if not event_filter(event):
            return False
    return True


def log_event(event, **fields):
    """Write `event` with its number and `fields` to the structured log."""
    if is_logged(event):
        write_event(event, **fields)


def write_event(event, **fields):
    """Write `event` without applying the filters, for callers of `is_logged`."""
    eliot.log_message(f"ragworthoist:{event.name.lower()}", number=int(event), **fields)
