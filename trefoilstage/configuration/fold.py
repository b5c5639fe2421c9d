"""Fold the configuration stream into one state, the same on every host."""

from dataclasses import dataclass, field
from functools import singledispatch

from trefoilstage.configuration.merge import merge_files
from trefoilstage.configuration.records import (
    ConfigEnvelope,
    HostDown,
    HostUp,
    Publish,
    Remove,
)
from trefoilstage.configuration.schema import Configuration
from trefoilstage.helpers.finding import Finding
from trefoilstage.helpers.verdict import ACCEPTED, Reason, Rejected, Verdict
from trefoilstage.ledger.fold import MAX_SEQUENCES, drop_oldest
from trefoilstage.ledger.records import Checkpoint

MAX_HISTORY = 200
NEW_FILE = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class FileState:
    """Hold a file in force and the offset that put it there."""

    content: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryEntry:
    """Hold what became of one change, for operators."""

    offset: int
    operation: str
    action: str
    name: str
    author: str
    accepted: bool
    reason: str = ""
    detail: str = ""
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HostEntry:
    """Hold a host's current incarnation and its addresses."""

    host: str
    incarnation: str
    data_center: str
    caller_url: str
    operator_url: str
    peer_url: str
    offset: int


@dataclass(kw_only=True, slots=True)
class ConfigState:
    """Hold everything the configuration stream agrees on before an offset."""

    fold_version: int = 1
    next_offset: int = 0
    revision: int = -1
    files: dict[str, FileState] = field(default_factory=dict)
    hosts: dict[str, HostEntry] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)
    sequences: dict[str, int] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)


def fold_config_envelope(
    state: ConfigState, offset: int, envelope: ConfigEnvelope
) -> Verdict:
    """Apply one record at its offset and return the verdict on it."""
    if offset < state.next_offset:
        return Rejected(reason=Reason.DUPLICATE)
    state.next_offset = offset + 1
    if envelope.sequence <= state.sequences.get(envelope.incarnation, -1):
        return Rejected(reason=Reason.DUPLICATE)
    state.sequences.pop(envelope.incarnation, None)
    state.sequences[envelope.incarnation] = envelope.sequence
    drop_oldest(state.sequences, MAX_SEQUENCES)
    return apply_config(envelope.record, state, envelope.incarnation, offset)


@singledispatch
def apply_config(
    record: object, state: ConfigState, writer: str, offset: int
) -> Verdict:
    """Apply a record of one kind."""
    return Rejected(reason=Reason.NOT_APPLICABLE)


@apply_config.register
def _(record: Checkpoint, state: ConfigState, writer: str, offset: int) -> Verdict:
    return ACCEPTED


@apply_config.register
def _(record: Publish, state: ConfigState, writer: str, offset: int) -> Verdict:
    files = dict(state.files)
    files[record.name] = FileState(content=record.content, revision=offset)
    return change_files(record, "publish", state, files, offset)


@apply_config.register
def _(record: Remove, state: ConfigState, writer: str, offset: int) -> Verdict:
    files = dict(state.files)
    files.pop(record.name, None)
    return change_files(record, "remove", state, files, offset)


@apply_config.register
def _(record: HostUp, state: ConfigState, writer: str, offset: int) -> Verdict:
    state.hosts[record.host] = HostEntry(
        host=record.host,
        incarnation=writer,
        data_center=record.data_center,
        caller_url=record.caller_url,
        operator_url=record.operator_url,
        peer_url=record.peer_url,
        offset=offset,
    )
    return ACCEPTED


@apply_config.register
def _(record: HostDown, state: ConfigState, writer: str, offset: int) -> Verdict:
    for name, entry in list(state.hosts.items()):
        if entry.incarnation == record.incarnation:
            del state.hosts[name]
    return ACCEPTED


def change_files(
    record: Publish | Remove,
    action: str,
    state: ConfigState,
    files: dict[str, FileState],
    offset: int,
) -> Verdict:
    """Accept a change of files if its base is current and the merge is valid."""
    for entry in reversed(state.history):
        if entry.operation == record.operation:
            return judge_history(entry)
    verdict = judge_change(record, action, state, files)
    accepted = not isinstance(verdict, Rejected)
    state.history.append(
        HistoryEntry(
            offset=offset,
            operation=record.operation,
            action=action,
            name=record.name,
            author=record.author,
            accepted=accepted,
            reason=verdict.reason.value if isinstance(verdict, Rejected) else "",
            detail=verdict.detail if isinstance(verdict, Rejected) else "",
            findings=verdict.findings if isinstance(verdict, Rejected) else (),
        )
    )
    del state.history[:-MAX_HISTORY]
    if isinstance(verdict, Rejected):
        return verdict
    state.files = files
    state.revision = offset
    state.configuration = verdict
    return ACCEPTED


def judge_history(entry: HistoryEntry) -> Verdict:
    """Return the verdict that an operation already got."""
    if entry.accepted:
        return ACCEPTED
    return Rejected(
        reason=Reason(entry.reason), detail=entry.detail, findings=entry.findings
    )


def judge_change(
    record: Publish | Remove,
    action: str,
    state: ConfigState,
    files: dict[str, FileState],
) -> Configuration | Rejected:
    """Return the configuration that a change yields, or why it is rejected."""
    current = state.files.get(record.name)
    revision = current.revision if current else NEW_FILE
    # Two operators edit the same file at once. Without the base the later
    # append would wipe out the earlier one unseen; with it one of them is
    # told of the conflict and looks again.
    if record.base_revision != revision:
        detail = f"{record.name} is at revision {revision}, not {record.base_revision}"
        return Rejected(reason=Reason.CONFLICT, detail=detail)
    if action == "remove" and current is None:
        return Rejected(reason=Reason.CONFLICT, detail=f"no file {record.name}")
    result = merge_files({name: item.content for name, item in files.items()})
    if result.configuration is None:
        detail = f"{len(result.findings)} findings in the merged files"
        return Rejected(reason=Reason.INVALID, detail=detail, findings=result.findings)
    before = state.configuration.fleet.ledger_streams
    if state.files and result.configuration.fleet.ledger_streams != before:
        detail = "fleet.ledger_streams can't change once files are in force"
        return Rejected(reason=Reason.INVALID, detail=detail)
    return result.configuration
