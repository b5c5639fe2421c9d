"""Write one key=value line for each event."""

import atexit
import json
import logging
import traceback
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import eliot

from trefoilstage.helpers.lines import LineWriter

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
FIELDS_FIRST = ("timestamp", "message_type")
FIELDS_HIDDEN = frozenset({"task_uuid", "task_level"})


# Bounds what a line quotes of another writer, in characters.
MAX_QUOTED = 200


class Event(StrEnum):
    """Name what a process reports."""

    HOST_STARTED = "host_started"
    HOST_READY = "host_ready"
    HOST_DRAINING = "host_draining"
    HOST_LEAVING = "host_leaving"
    HOST_STOPPED = "host_stopped"
    LINK_FULL = "link_full"
    LINK_HAS_ROOM = "link_has_room"
    HOST_STALLED = "host_stalled"
    CONNECT_REPEATED = "connect_repeated"
    REQUEST_DONE = "request_done"
    REQUEST_FAILED = "request_failed"
    CALL_BILLED = "call_billed"
    REQUEST_REFUSED = "request_refused"
    HANDLER_FAILED = "handler_failed"
    LIBRARY_WARNING = "library_warning"
    LOG_LOST = "log_lost"
    LOG_BACK = "log_back"
    LOG_OUT_OF_REACH = "log_out_of_reach"
    LOG_IN_REACH = "log_in_reach"
    LOG_GAP = "log_gap"
    RECORD_FAILED = "record_failed"
    STREAM_HALTED = "stream_halted"
    STATE_EXPIRED = "state_expired"
    HOSTS_DECLARED_LOST = "hosts_declared_lost"
    RECORD_MISSING = "record_missing"
    RECORD_LOST = "record_lost"
    RECORDS_SENT_AGAIN = "records_sent_again"
    HOST_CRASHED = "host_crashed"
    DRAIN_INCOMPLETE = "drain_incomplete"
    RECORD_MALFORMED = "record_malformed"
    STATE_RESTORED = "state_restored"
    CHECKPOINT_WRITTEN = "checkpoint_written"
    HOST_LIST_LOST = "host_list_lost"
    PEER_LOST = "peer_lost"
    PEER_BACK = "peer_back"
    PEER_MESSAGE_MALFORMED = "peer_message_malformed"
    PEER_CALL_FAILED = "peer_call_failed"
    DRAW_GRANTED = "draw_granted"
    DRAW_REJECTED = "draw_rejected"
    DRAW_SEALED = "draw_sealed"
    DRAW_RESOLVED = "draw_resolved"
    WITNESS_LOST = "witness_lost"
    POWER_IN_DOUBT = "power_in_doubt"
    POWER_RELEASED = "power_released"
    TARGET_EJECTED = "target_ejected"
    TARGET_FAILED = "target_failed"
    TIMER_FAILED = "timer_failed"
    CONFIG_IN_FORCE = "config_in_force"
    VIEW_LISTED = "view_listed"
    VIEW_RELAYED = "view_relayed"
    STORE_IN_REACH = "store_in_reach"
    STORE_OUT_OF_REACH = "store_out_of_reach"
    STORE_WRITE_FAILED = "store_write_failed"
    PEER_MET = "peer_met"
    ESCROW_DRAWN = "escrow_drawn"
    LOCK_READ = "lock_read"
    ESCROW_DRAW_FAILED = "escrow_draw_failed"
    ESCROW_RECOVERED = "escrow_recovered"
    HOLD_REFUSED = "hold_refused"
    HOLD_UNANSWERED = "hold_unanswered"
    REQUEST_SENT = "request_sent"
    ANSWER_BROKEN = "answer_broken"
    REQUEST_BLOCKED = "request_blocked"
    REQUEST_UNBLOCKED = "request_unblocked"
    CRASH_LEFT_OUT = "crash_left_out"
    CRASH_REPORT_UNSENT = "crash_report_unsent"
    TARGET_ENDED = "target_ended"
    TARGET_REPLACED = "target_replaced"
    TARGET_DROPPED = "target_dropped"
    TARGET_LISTED = "target_listed"
    TARGET_ENTRY_STALE = "target_entry_stale"
    TARGET_GAVE_WAY = "target_gave_way"
    SETTINGS_READ = "settings_read"
    SETTINGS_REFUSED = "settings_refused"
    STOP_INCOMPLETE = "stop_incomplete"
    LEAVE_INCOMPLETE = "leave_incomplete"
    USAGE_ABOVE_RESERVATION = "usage_above_reservation"
    METRICS_SERVED = "metrics_served"
    METRICS_UNAVAILABLE = "metrics_unavailable"


ROUTINE_EVENTS = frozenset(
    {
        Event.REQUEST_SENT.value,
        Event.REQUEST_DONE.value,
        Event.CALL_BILLED.value,
        Event.ESCROW_DRAWN.value,
        Event.DRAW_GRANTED.value,
    }
)


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    eliot.log_message(message_type=event.value, **fields)


def format_event(message: Mapping[str, Any]) -> str:
    """Return a message as one line of key=value pairs."""
    rest = sorted(set(message) - FIELDS_HIDDEN - set(FIELDS_FIRST))
    keys = [key for key in FIELDS_FIRST if key in message] + rest
    return " ".join(f"{key}={format_value(message[key])}" for key in keys)


def format_value(value: object) -> str:
    """Return a value that holds no bare space, quote or line break."""
    text = f"{value:.6f}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not set(text) & set(" \"'="):
        return text
    return json.dumps(text)


def shorten(text: str) -> str:
    """Return the beginning of a text that another writer may have made long."""
    return text if len(text) <= MAX_QUOTED else f"{text[:MAX_QUOTED]}..."


def find_place(error: BaseException) -> str:
    """Return the function and line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""


def describe_error(error: BaseException | None) -> str:
    """Return an error's type and place; its message may quote a key or a body."""
    if error is None:
        return ""
    place = find_place(error)
    return f"{type(error).__name__}@{place}" if place else type(error).__name__


class EventWriter:
    """Write events as they come; failures go before routine under load."""

    def __init__(self, *, lines: LineWriter) -> None:
        self._lines = lines

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one event."""
        self._lines.write(format_event(message), routine=is_routine(message))


def is_routine(message: Mapping[str, Any]) -> bool:
    """Tell whether an event says only that all went as usual."""
    if message.get("message_type") not in ROUTINE_EVENTS:
        return False
    return message.get("complete", True) is True


class LibraryHandler(logging.Handler):
    """Turn what libraries log into events, so that each is one line."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's warning by its place; its text may quote a body."""
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            Event.LIBRARY_WARNING,
            library=record.name,
            level=record.levelname.lower(),
            place=find_place(error) if error else f"{record.module}:{record.lineno}",
            error=type(error).__name__ if error else "",
        )


def set_up_events(descriptor: int = STANDARD_ERROR) -> LineWriter:
    """Send all events to a descriptor, standard error by default."""
    lines = LineWriter(descriptor=descriptor)
    eliot.add_destinations(EventWriter(lines=lines))
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)
    atexit.register(lines.flush)
    return lines
