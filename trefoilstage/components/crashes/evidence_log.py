"""Log changes of what is blocked, and records that can't be read."""

from trefoilstage.components.crashes.causes import Causes
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.components.crashes.models import CrashRecord, decode_record
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.events import Event, log_event, truncate_text


def decode_or_log(record: KeyedRecord) -> CrashRecord | None:
    """Return what a record represents, None after logging that it is malformed."""
    try:
        return decode_record(record)
    except MalformedMessageError as error:
        log_event(
            Event.RECORD_MALFORMED,
            topic=Topic.CRASHES,
            offset=record.offset,
            error=truncate_text(str(error)),
        )
        return None


def log_changes(previous: Causes, evidence: CrashEvidence, reason: str) -> None:
    """Log which requests and parts are blocked or unblocked since `previous`."""
    causes = evidence.causes
    for fingerprint in causes.fingerprints - previous.fingerprints:
        targets = sorted(evidence.targets_by_fingerprint[fingerprint])
        log_event(
            Event.REQUEST_BLOCKED, fingerprint=fingerprint, targets=",".join(targets)
        )
    for parts in causes.part_sets - previous.part_sets:
        log_event(
            Event.PARTS_BLOCKED,
            parts=describe_parts(sorted(parts)),
            targets=",".join(evidence.list_targets(parts)),
        )
    for fingerprint in previous.fingerprints - causes.fingerprints:
        log_event(Event.REQUEST_UNBLOCKED, fingerprint=fingerprint, reason=reason)
    for parts in previous.part_sets - causes.part_sets:
        log_event(
            Event.PARTS_UNBLOCKED, parts=describe_parts(sorted(parts)), reason=reason
        )
