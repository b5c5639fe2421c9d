"""Apply the records of the configuration stream to a state, equal on every host.

The state includes the files in force, the configuration merged from them, the limits
that follow from it, the known hosts and a history of the operators' changes.
"""

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
MAX_FINDING_CHARS = 300
NEW_FILE_REVISION = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class FileState:
    """Describe a file in force; its revision is the offset of its last change."""

    content: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryEntry:
    """Describe the outcome of one change, as shown to operators."""

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
    """Describe a host's current incarnation and its addresses."""

    host: str
    incarnation: str
    data_center: str
    caller_url: str
    operator_url: str
    peer_url: str
    offset: int


@dataclass(kw_only=True, slots=True)
class ConfigState:
    """Represent the configuration stream's state before the next offset to fold."""

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
    """Apply the record at an offset and return the verdict.

    A merger kept between calls saves time and does not affect the verdict.
    """
    if offset < state.next_offset:
        return Rejected(reason=Reason.DUPLICATE)
    state.next_offset = offset + 1
    rejected = advance_sequence(
        state.sequences, envelope.incarnation, envelope.sequence
    )
    if rejected is not None:
        return rejected
    context = RecordContext(
        writer=envelope.incarnation,
        offset=offset,
        merger=merger or IncrementalMerger(),
    )
    return apply_record(envelope.record, state, context)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordContext:
    """Describe a record's writer and offset, and the merger to use."""

    writer: str
    offset: int
    merger: IncrementalMerger


@singledispatch
def apply_record(record: object, state: ConfigState, context: RecordContext) -> Verdict:
    """Apply a record of one kind; reject a kind without a handler."""
    return Rejected(reason=Reason.NOT_APPLICABLE)


@apply_record.register
def _(record: Checkpoint, state: ConfigState, context: RecordContext) -> Verdict:
    return ACCEPTED


@apply_record.register
def _(record: Publish, state: ConfigState, context: RecordContext) -> Verdict:
    files = dict(state.files)
    files[record.name] = FileState(content=record.content, revision=context.offset)
    return apply_file_change(record, "publish", state, files, context)


@apply_record.register
def _(record: Remove, state: ConfigState, context: RecordContext) -> Verdict:
    files = dict(state.files)
    files.pop(record.name, None)
    return apply_file_change(record, "remove", state, files, context)


@apply_record.register
def _(record: HostUp, state: ConfigState, context: RecordContext) -> Verdict:
    state.hosts[record.host] = HostEntry(
        host=record.host,
        incarnation=context.writer,
        data_center=record.data_center,
        caller_url=record.caller_url,
        operator_url=record.operator_url,
        peer_url=record.peer_url,
        offset=context.offset,
    )
    return ACCEPTED


@apply_record.register
def _(record: HostDown, state: ConfigState, context: RecordContext) -> Verdict:
    for name, entry in list(state.hosts.items()):
        if entry.incarnation == record.incarnation:
            del state.hosts[name]
    return ACCEPTED


@apply_record.register
def _(record: Upgrade, state: ConfigState, context: RecordContext) -> Verdict:
    if record.version != state.fold_version + 1:
        return Rejected(reason=Reason.STALE_REVISION)
    state.fold_version = record.version
    return ACCEPTED


def apply_file_change(
    record: Publish | Remove,
    action: str,
    state: ConfigState,
    files: dict[str, FileState],
    context: RecordContext,
) -> Verdict:
    """Accept a change if its base revision is current and the merge is valid.

    A repeated operation gets the verdict that it got before.
    """
    earlier_verdict = find_operation_verdict(state, record.operation)
    if earlier_verdict is not None:
        return earlier_verdict
    verdict = validate_change(record, action, state, files, context.merger)
    accepted = not isinstance(verdict, Rejected)
    state.history.append(
        HistoryEntry(
            offset=context.offset,
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
    state.revision = context.offset
    update_limits(state.limits, state.configuration, verdict, context.offset)
    state.configuration = verdict
    return ACCEPTED


def find_operation_verdict(state: ConfigState, operation: str) -> Verdict | None:
    """Return an operation's verdict, or None if the history does not include it."""
    for entry in reversed(state.history):
        if entry.operation == operation:
            return get_entry_verdict(entry)
    return None


def get_entry_verdict(entry: HistoryEntry) -> Verdict:
    """Return the verdict that a history entry records."""
    if entry.accepted:
        return ACCEPTED
    return Rejected(
        reason=Reason(entry.reason), detail=entry.detail, findings=entry.findings
    )


def validate_change(
    record: Publish | Remove,
    action: str,
    state: ConfigState,
    files: dict[str, FileState],
    merger: IncrementalMerger,
) -> Configuration | Rejected:
    """Return the configuration that results from a change, or its rejection."""
    current = state.files.get(record.name)
    revision = current.revision if current else NEW_FILE_REVISION
    # Two operators may edit the same file at the same time. Without the check of
    # the base revision the later change would silently overwrite the earlier one;
    # with it, the later operator receives a conflict and can review the file.
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
    n_streams_before = state.configuration.fleet.ledger_streams
    if state.files and result.configuration.fleet.ledger_streams != n_streams_before:
        detail = "fleet.ledger_streams can't change once files are in force"
        return Rejected(reason=Reason.INVALID, detail=detail)
    return result.configuration


def limit_findings(findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
    """Return the first findings, each truncated to the size kept in the history."""
    return tuple(
        replace(
            finding,
            key=finding.key[:MAX_FINDING_CHARS],
            message=finding.message[:MAX_FINDING_CHARS],
        )
        for finding in findings[:MAX_FINDINGS]
    )
