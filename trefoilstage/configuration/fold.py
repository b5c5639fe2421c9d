"""Fold the configuration stream into one state, the same on every host."""

from dataclasses import dataclass, field, replace
from functools import singledispatch

from trefoilstage.configuration.incremental import IncrementalMerger
from trefoilstage.configuration.limits import AccountLimit, update_limits
from trefoilstage.configuration.records import (
    ConfigEnvelope,
    HostDown,
    HostUp,
    Publish,
    Remove,
)
from trefoilstage.configuration.schema import Configuration
from trefoilstage.const import FOLD_VERSION
from trefoilstage.helpers.finding import Finding
from trefoilstage.helpers.verdict import ACCEPTED, Reason, Rejected, Verdict
from trefoilstage.ledger.fold import advance_sequence
from trefoilstage.ledger.records import Checkpoint, Upgrade

MAX_HISTORY = 200
MAX_FINDINGS = 20
MAX_FINDING = 300
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

    fold_version: int = FOLD_VERSION
    next_offset: int = 0
    revision: int = -1
    files: dict[str, FileState] = field(default_factory=dict)
    hosts: dict[str, HostEntry] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)
    sequences: dict[str, int] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    limits: dict[str, AccountLimit] = field(default_factory=dict)


def fold_config_envelope(
    state: ConfigState,
    offset: int,
    envelope: ConfigEnvelope,
    merger: IncrementalMerger | None = None,
) -> Verdict:
    """Apply one record at its offset; a merger only saves time."""
    if offset < state.next_offset:
        return Rejected(reason=Reason.DUPLICATE)
    state.next_offset = offset + 1
    rejected = advance_sequence(
        state.sequences, envelope.incarnation, envelope.sequence
    )
    if rejected is not None:
        return rejected
    place = Place(
        writer=envelope.incarnation,
        offset=offset,
        merger=merger or IncrementalMerger(),
    )
    return apply_config(envelope.record, state, place)


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Say who wrote a record and where it lies."""

    writer: str
    offset: int
    merger: IncrementalMerger


@singledispatch
def apply_config(record: object, state: ConfigState, place: Place) -> Verdict:
    """Apply a record of one kind."""
    return Rejected(reason=Reason.NOT_APPLICABLE)


@apply_config.register
def _(record: Checkpoint, state: ConfigState, place: Place) -> Verdict:
    return ACCEPTED


@apply_config.register
def _(record: Publish, state: ConfigState, place: Place) -> Verdict:
    files = dict(state.files)
    files[record.name] = FileState(content=record.content, revision=place.offset)
    return change_files(record, "publish", state, files, place)


@apply_config.register
def _(record: Remove, state: ConfigState, place: Place) -> Verdict:
    files = dict(state.files)
    files.pop(record.name, None)
    return change_files(record, "remove", state, files, place)


@apply_config.register
def _(record: HostUp, state: ConfigState, place: Place) -> Verdict:
    state.hosts[record.host] = HostEntry(
        host=record.host,
        incarnation=place.writer,
        data_center=record.data_center,
        caller_url=record.caller_url,
        operator_url=record.operator_url,
        peer_url=record.peer_url,
        offset=place.offset,
    )
    return ACCEPTED


@apply_config.register
def _(record: HostDown, state: ConfigState, place: Place) -> Verdict:
    for name, entry in list(state.hosts.items()):
        if entry.incarnation == record.incarnation:
            del state.hosts[name]
    return ACCEPTED


@apply_config.register
def _(record: Upgrade, state: ConfigState, place: Place) -> Verdict:
    if record.version != state.fold_version + 1:
        return Rejected(reason=Reason.STALE_REVISION)
    state.fold_version = record.version
    return ACCEPTED


def change_files(
    record: Publish | Remove,
    action: str,
    state: ConfigState,
    files: dict[str, FileState],
    place: Place,
) -> Verdict:
    """Accept a change of files if its base is current and the merge is valid."""
    known = find_operation(state, record.operation)
    if known is not None:
        return known
    verdict = judge_change(record, action, state, files, place.merger)
    accepted = not isinstance(verdict, Rejected)
    state.history.append(
        HistoryEntry(
            offset=place.offset,
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
    state.revision = place.offset
    update_limits(state.limits, state.configuration, verdict, place.offset)
    state.configuration = verdict
    return ACCEPTED


def find_operation(state: ConfigState, operation: str) -> Verdict | None:
    """Return the verdict that an operation got, if it is still remembered."""
    for entry in reversed(state.history):
        if entry.operation == operation:
            return judge_history(entry)
    return None


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
    merger: IncrementalMerger,
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
    result = merger.merge(
        {name: item.content for name, item in state.files.items()},
        {name: item.content for name, item in files.items()},
        state.configuration,
    )
    if result.configuration is None:
        detail = f"{len(result.findings)} findings in the merged files"
        findings = limit_findings(result.findings)
        return Rejected(reason=Reason.INVALID, detail=detail, findings=findings)
    before = state.configuration.fleet.ledger_streams
    if state.files and result.configuration.fleet.ledger_streams != before:
        detail = "fleet.ledger_streams can't change once files are in force"
        return Rejected(reason=Reason.INVALID, detail=detail)
    return result.configuration


def limit_findings(findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
    """Return the first findings, cut to what the history keeps of each."""
    return tuple(
        replace(
            finding,
            key=finding.key[:MAX_FINDING],
            message=finding.message[:MAX_FINDING],
        )
        for finding in findings[:MAX_FINDINGS]
    )
