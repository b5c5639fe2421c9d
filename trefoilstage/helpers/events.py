"""Log each event as one line of key=value pairs."""

import atexit
import json
import logging
import traceback
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import eliot

from trefoilstage.helpers.log_line_writer import LineWriter

STDOUT_DESCRIPTOR = 1
STDERR_DESCRIPTOR = 2
LEADING_FIELDS = ("timestamp", "message_type")
OMITTED_FIELDS = frozenset({"task_uuid", "task_level"})

# Limits text from other processes that is quoted in a log line.
MAX_QUOTED_CHARS = 200


class Event(StrEnum):
    """List the events that a process logs."""

    HOST_STARTED = "host_started"
    HOST_READY = "host_ready"
    HOST_DRAINING = "host_draining"
    HOST_LEAVING = "host_leaving"
    HOST_STOPPED = "host_stopped"
    LINK_FULL = "link_full"
    LINK_HAS_ROOM = "link_has_room"
    HOST_STALLED = "host_stalled"
    CONNECT_REPEATED = "connect_repeated"
    ANSWER_TOO_LONG = "answer_too_long"  # for this host's memory
    CONNECTION_CLOSED = "connection_closed"  # of a client, to hold less for it
    REQUEST_DONE = "request_done"
    REQUEST_FAILED = "request_failed"
    REQUEST_STOPPED = "request_stopped"
    REQUEST_UNANSWERED = "request_unanswered"
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
    TARGETS_OUT_OF_REACH = "targets_out_of_reach"
    TARGETS_IN_REACH = "targets_in_reach"
    TARGET_START_UNPROVEN = "target_start_unproven"
    TARGET_EJECTED = "target_ejected"
    TARGET_FAILED = "target_failed"
    TARGET_LIMIT_NAMED = "target_limit_named"
    TARGET_LIMIT_ENDED = "target_limit_ended"
    TARGET_SAID_LEAVING = "target_said_leaving"
    SERVICE_BRITTLE = "service_brittle"
    TARGET_REFUSES = "target_refuses"
    TARGET_ASKED_FOR_REST = "target_asked_for_rest"
    SERVICE_CONTENDED = "service_contended"
    SERVICE_RELAXED = "service_relaxed"
    PLACE_GRANTED = "place_granted"
    PLACE_REFUSED = "place_refused"
    PLACE_UNUSED = "place_unused"
    ADMISSION_HOME_SILENT = "admission_home_silent"
    ADMISSION_FAILED = "admission_failed"
    REPORT_FAILED = "report_failed"
    REPORT_MALFORMED = "report_malformed"
    HEADER_MALFORMED = "header_malformed"
    TIMER_FAILED = "timer_failed"
    CONFIG_IN_FORCE = "config_in_force"
    EVACUATION_STARTED = "evacuation_started"
    EVACUATION_ENDED = "evacuation_ended"
    VIEW_LISTED = "view_listed"
    VIEW_EXPIRED = "view_expired"
    VIEW_RELAYED = "view_relayed"
    STORE_IN_REACH = "store_in_reach"
    STORE_RESTORED = "store_restored"
    STORE_OUT_OF_REACH = "store_out_of_reach"
    STORE_WRITE_FAILED = "store_write_failed"
    PEER_MET = "peer_met"
    ESCROW_DRAWN = "escrow_drawn"
    LOCK_READ = "lock_read"
    ESCROW_DRAW_FAILED = "escrow_draw_failed"
    ESCROW_RECOVERED = "escrow_recovered"
    ACCOUNT_REPORTS_MISSING = "account_reports_missing"
    ACCOUNT_RECONCILED = "account_reconciled"
    HOLD_REFUSED = "hold_refused"
    HOLD_UNANSWERED = "hold_unanswered"
    HOLD_WAIT_ENDED = "hold_wait_ended"
    REQUEST_SENT = "request_sent"
    FETCH_SOURCE_EJECTED = "fetch_source_ejected"
    SEND_FAILED = "send_failed"
    SENT_THROUGH_PEER = "sent_through_peer"
    ANSWER_BROKEN = "answer_broken"
    REQUEST_BLOCKED = "request_blocked"
    REQUEST_UNBLOCKED = "request_unblocked"
    PARTS_BLOCKED = "parts_blocked"
    PARTS_UNBLOCKED = "parts_unblocked"
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
        Event.SENT_THROUGH_PEER.value,
        Event.REQUEST_DONE.value,
        Event.CALL_BILLED.value,
        Event.ESCROW_DRAWN.value,
        Event.DRAW_GRANTED.value,
        Event.PLACE_GRANTED.value,
        Event.PLACE_REFUSED.value,
        Event.PLACE_UNUSED.value,
    }
)


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    eliot.log_message(message_type=event.value, **fields)


def format_event(message: Mapping[str, Any]) -> str:
    """Return an event as one line of key=value pairs."""
    other_keys = sorted(set(message) - OMITTED_FIELDS - set(LEADING_FIELDS))
    keys = [key for key in LEADING_FIELDS if key in message] + other_keys
    return " ".join(f"{key}={format_value(message[key])}" for key in keys)


def format_value(value: object) -> str:
    """Return a value as text; quote it if it is empty or has special characters."""
    text = f"{value:.6f}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not set(text) & set(" \"'="):
        return text
    return json.dumps(text)


def truncate_text(text: str) -> str:
    """Return a text from another process, truncated to the maximum quoted length."""
    return text if len(text) <= MAX_QUOTED_CHARS else f"{text[:MAX_QUOTED_CHARS]}..."


def locate_error(error: BaseException) -> str:
    """Return the function and line that raised an error, "" without a traceback."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""


def describe_error(error: BaseException | None) -> str:
    """Return an error's type and location, without its message.

    The message may quote a key or a body.
    """
    if error is None:
        return ""
    location = locate_error(error)
    return f"{type(error).__name__}@{location}" if location else type(error).__name__


class EventWriter:
    """Write events to the log; under load, failures take precedence over routine."""

    def __init__(self, *, writer: LineWriter) -> None:
        self._writer = writer

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one event."""
        self._writer.write(format_event(message), is_routine=is_routine(message))


def is_routine(message: Mapping[str, Any]) -> bool:
    """Return whether an event reports normal operation only."""
    if message.get("message_type") not in ROUTINE_EVENTS:
        return False
    return message.get("complete", True) is True


class LibraryHandler(logging.Handler):
    """Convert log records of libraries to events, so that each is one line."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the location of a library's warning; its text may quote a body."""
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            Event.LIBRARY_WARNING,
            library=record.name,
            level=record.levelname.lower(),
            place=locate_error(error) if error else f"{record.module}:{record.lineno}",
            error=type(error).__name__ if error else "",
        )


def set_up_event_log(descriptor: int = STDERR_DESCRIPTOR) -> LineWriter:
    """Write events and library warnings to a file descriptor; return the writer."""
    writer = LineWriter(descriptor=descriptor)
    eliot.add_destinations(EventWriter(writer=writer))
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)
    atexit.register(writer.flush)
    return writer
