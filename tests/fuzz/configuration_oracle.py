"""Compute the expected configuration with a simple model."""

from dataclasses import dataclass, field

from trefoilstage.configuration.merge import merge_files
from trefoilstage.configuration.records import HostDown, HostUp, Publish, Remove


@dataclass(kw_only=True)
class Oracle:
    """Model the configuration after each record of the log."""

    contents: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    revision: int = -1
    operations: set[str] = field(default_factory=set)
    streams: int = 1
    hosts: dict[str, str] = field(default_factory=dict)

    def apply_record(self, offset: int, writer: str, record: object) -> None:
        """Apply a record at its first append; repeated appends are not passed in."""
        if isinstance(record, Publish | Remove):
            self._apply_change(offset, record)
        if isinstance(record, HostUp):
            self.hosts[record.host] = writer
        if isinstance(record, HostDown):
            present = self.hosts.items()
            self.hosts = {k: v for k, v in present if v != record.incarnation}

    def _apply_change(self, offset: int, record: Publish | Remove) -> None:
        """Apply a change if its base is current and all files together are valid."""
        if record.operation in self.operations:
            return
        self.operations.add(record.operation)
        if record.base_revision != self.revisions.get(record.name, -1):
            return
        if isinstance(record, Remove) and record.name not in self.contents:
            return
        after = dict(self.contents)
        after.pop(record.name, None)
        if isinstance(record, Publish):
            after[record.name] = record.content
        merged = merge_files(after).configuration
        if merged is None:
            return
        if self.contents and merged.fleet.ledger_streams != self.streams:
            return
        self.streams = merged.fleet.ledger_streams
        self.revision = offset
        self.contents = after
        self.revisions.pop(record.name, None)
        if isinstance(record, Publish):
            self.revisions[record.name] = offset

    def copy(self) -> "Oracle":
        """Return a copy to apply further records to."""
        return Oracle(
            contents=dict(self.contents),
            revisions=dict(self.revisions),
            revision=self.revision,
            operations=set(self.operations),
            streams=self.streams,
            hosts=dict(self.hosts),
        )
