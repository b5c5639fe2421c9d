"""Tell one request's story from the lines that hosts wrote; pure."""

import re
import shlex
from collections.abc import Iterable
from dataclasses import dataclass

from trefoilstage.helpers.events import Event

# Lines about what a host believed, shown as they stood when the request came.
BELIEFS = (
    Event.CONFIG_IN_FORCE,
    Event.STORE_OUT_OF_REACH,
    Event.STORE_IN_REACH,
    Event.HOST_STARTED,
    Event.HOST_READY,
    Event.HOST_DRAINING,
)
# Standing and health of the targets that a request was sent to.
TARGET_BELIEFS = (
    Event.TARGET_LISTED,
    Event.TARGET_DROPPED,
    Event.TARGET_EJECTED,
    Event.TARGET_REPLACED,
)
ACCOUNT_EVENTS = (Event.ESCROW_DRAWN, Event.ESCROW_DRAW_FAILED, Event.ESCROW_RECOVERED)
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# How long before the request's first line draws of its account are shown.
ACCOUNT_WINDOW_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """Hold one line of a host."""

    source: str  # the file, or what a supervisor wrote before the line
    fields: dict[str, str]

    @property
    def at(self) -> float:
        """Return when it was written, in seconds of the host's time of day."""
        return float(self.fields.get("timestamp", "0"))

    @property
    def kind(self) -> str:
        """Return the event's name."""
        return self.fields.get("message_type", "")

    def describe(self) -> str:
        """Return the line as text, with its source before it."""
        rest = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("timestamp", "message_type")
        ]
        return " ".join([f"{self.at:.3f}", self.source, self.kind, *rest])


@dataclass(frozen=True, kw_only=True, slots=True)
class Story:
    """Hold what is known of a request."""

    lines: tuple[LogLine, ...]  # those that name it, in order
    beliefs: tuple[LogLine, ...]  # what its hosts believed when it came
    account: tuple[LogLine, ...]  # changes of its workspace's stocks around it


def read_line(text: str, source: str) -> LogLine | None:
    """Return a line of ours, None for any other text."""
    head, found, _ = text.partition("timestamp=")
    if not found:
        return None
    pairs = PAIR.findall(text[len(head) :])
    fields = {name: unquote(value) for name, value in pairs}
    if "message_type" not in fields:
        return None
    words = head.split()
    return LogLine(source=words[-1] if words else source, fields=fields)


def unquote(value: str) -> str:
    """Return a value without the quotes that protect spaces."""
    if not value.startswith('"'):
        return value
    try:
        return shlex.split(value)[0]
    except (ValueError, IndexError):
        return value


def find_story(lines: Iterable[LogLine], request: str) -> Story:
    """Return the story of a request from the lines of all hosts."""
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if names_request(line, request)]
    if not own:
        return Story(lines=(), beliefs=(), account=())
    sources = {line.source for line in own}
    targets = {line.fields["target"] for line in own if "target" in line.fields}
    workspaces = {line.fields.get("workspace", "") for line in own} - {""}
    newest: dict[tuple[str, str, str], LogLine] = {}
    for line in known:
        if line.at > own[0].at:
            break
        key = (line.source, *name_belief(line, targets))
        if line.source in sources and key[1]:
            newest[key] = line
    account = [
        line
        for line in known
        if line.kind in ACCOUNT_EVENTS
        and line.fields.get("workspace") in workspaces
        and own[0].at - ACCOUNT_WINDOW_S <= line.at <= own[-1].at
    ]
    beliefs = sorted(newest.values(), key=lambda line: line.at)
    return Story(lines=tuple(own), beliefs=tuple(beliefs), account=tuple(account))


def names_request(line: LogLine, request: str) -> bool:
    """Tell whether a line is about a request; holds are named after it."""
    return line.fields.get("request", "").split("/")[0] == request


def name_belief(line: LogLine, targets: set[str]) -> tuple[str, str]:
    """Return which belief a line states, empty if none; a later one replaces it."""
    if line.kind in (Event.STORE_OUT_OF_REACH, Event.STORE_IN_REACH):
        return "store", ""
    if line.kind in BELIEFS:
        return line.kind, ""
    target = line.fields.get("target", "")
    if line.kind in TARGET_BELIEFS and target in targets:
        return "target", target
    return "", ""
