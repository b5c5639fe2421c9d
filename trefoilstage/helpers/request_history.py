"""Reconstruct the history of a request from the log lines of all hosts; no I/O."""

import re
import shlex
from collections.abc import Iterable
from dataclasses import dataclass

from trefoilstage.helpers.events import Event

# State that a host knew, shown as of the arrival of the request.
HOST_STATE_EVENTS = (
    Event.CONFIG_IN_FORCE,
    Event.STORE_OUT_OF_REACH,
    Event.STORE_IN_REACH,
    Event.HOST_STARTED,
    Event.HOST_READY,
    Event.HOST_DRAINING,
)
# Membership and health of the targets that a request was sent to.
TARGET_STATE_EVENTS = (
    Event.TARGET_LISTED,
    Event.TARGET_DROPPED,
    Event.TARGET_EJECTED,
    Event.TARGET_REPLACED,
)
ACCOUNT_EVENTS = (Event.ESCROW_DRAWN, Event.ESCROW_DRAW_FAILED, Event.ESCROW_RECOVERED)
KEY_VALUE_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Draws of the request's account are shown from this long before its first line.
ACCOUNT_WINDOW_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """Represent one log line of a host."""

    # Last word of the prefix that a supervisor writes before the line, else the file.
    source: str
    fields: dict[str, str]

    @property
    def timestamp(self) -> float:
        """Return when the line was written, in Unix seconds of the host's clock."""
        return float(self.fields.get("timestamp", "0"))

    @property
    def event_name(self) -> str:
        """Return the name of the logged event."""
        return self.fields.get("message_type", "")

    def describe(self) -> str:
        """Return the line as text: timestamp, source, event name and fields."""
        pairs = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("timestamp", "message_type")
        ]
        return " ".join([f"{self.timestamp:.3f}", self.source, self.event_name, *pairs])


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHistory:
    """Represent the log lines that explain what happened to a request."""

    lines: tuple[LogLine, ...]  # about the request itself, in order
    host_states: tuple[LogLine, ...]  # state known to its hosts when it arrived
    # Changes of its workspace's escrow at that time.
    account_changes: tuple[LogLine, ...]


def parse_log_line(text: str, source: str) -> LogLine | None:
    """Return a parsed log line, or None if the text is not one of this program."""
    prefix, separator, _ = text.partition("timestamp=")
    if not separator:
        return None
    pairs = KEY_VALUE_PAIR.findall(text[len(prefix) :])
    fields = {name: unquote(value) for name, value in pairs}
    if "message_type" not in fields:
        return None
    prefix_words = prefix.split()
    return LogLine(source=prefix_words[-1] if prefix_words else source, fields=fields)


def unquote(value: str) -> str:
    """Return a value without its quotes, if it has any."""
    if not value.startswith('"'):
        return value
    try:
        return shlex.split(value)[0]
    except (ValueError, IndexError):
        return value


def find_request_history(lines: Iterable[LogLine], request: str) -> RequestHistory:
    """Return the history of a request from the log lines of all hosts."""
    sorted_lines = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [line for line in sorted_lines if is_about_request(line, request)]
    if not request_lines:
        return RequestHistory(lines=(), host_states=(), account_changes=())
    sources = {line.source for line in request_lines}
    targets = {
        line.fields["target"] for line in request_lines if "target" in line.fields
    }
    workspaces = {line.fields.get("workspace", "") for line in request_lines} - {""}
    latest_by_state: dict[tuple[str, str, str], LogLine] = {}
    for line in sorted_lines:
        if line.timestamp > request_lines[0].timestamp:
            break
        key = (line.source, *identify_state(line, targets))
        if line.source in sources and key[1]:
            latest_by_state[key] = line
    account_changes = [
        line
        for line in sorted_lines
        if line.event_name in ACCOUNT_EVENTS
        and line.fields.get("workspace") in workspaces
        and request_lines[0].timestamp - ACCOUNT_WINDOW_S
        <= line.timestamp
        <= request_lines[-1].timestamp
    ]
    host_states = sorted(latest_by_state.values(), key=lambda line: line.timestamp)
    return RequestHistory(
        lines=tuple(request_lines),
        host_states=tuple(host_states),
        account_changes=tuple(account_changes),
    )


def is_about_request(line: LogLine, request: str) -> bool:
    """Return whether a line is about a request or one of its holds.

    The identifier of a hold begins with that of its request.
    """
    return line.fields.get("request", "").split("/")[0] == request


def identify_state(line: LogLine, targets: set[str]) -> tuple[str, str]:
    """Return which state a line reports, empty if none.

    A later line that reports the same state replaces an earlier one.
    """
    if line.event_name in (Event.STORE_OUT_OF_REACH, Event.STORE_IN_REACH):
        return "store", ""
    if line.event_name in HOST_STATE_EVENTS:
        return line.event_name, ""
    target = line.fields.get("target", "")
    if line.event_name in TARGET_STATE_EVENTS and target in targets:
        return "target", target
    return "", ""
