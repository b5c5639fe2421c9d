"""Merge a change without parsing and validating the files that it does not touch.

The verdict must be the same on every host, whatever a host has cached. Therefore the
incremental merge returns exactly the result of the full merge, findings included, or
falls back to the full merge.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from pydantic import ValidationError

from trefoilstage.configuration.merge import (
    MergedTables,
    MergeResult,
    check_references,
    convert_location,
    locate_finding,
    merge_files,
    merge_tables,
    parse_file,
    sort_findings,
)
from trefoilstage.configuration.schema import (
    BudgetConfig,
    Configuration,
    ModelConfig,
    Section,
    ServiceConfig,
    SiteConfig,
    TargetConfig,
    WorkspaceConfig,
    is_identifier,
)
from trefoilstage.helpers.finding import Finding

ENTRY_MODELS: Mapping[str, type[Section]] = {
    "workspaces": WorkspaceConfig,
    "budgets": BudgetConfig,
    "sites": SiteConfig,
    "models": ModelConfig,
    "targets": TargetConfig,
    "services": ServiceConfig,
}

FLEET_SECTION = "fleet"
MAX_CACHED_FILES = 16

EntryKey = tuple[str, str]
Tables = dict[str, Any]

REFERRING_SECTIONS = frozenset({"workspaces", "targets"})
REFERRED_SECTIONS = ("budgets", "models", "sites")


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryIssue:
    """Describe a validation failure by its path, before its file and line are known."""

    path: tuple[str, ...]
    message: str


@dataclass(kw_only=True, slots=True)
class FileChange:
    """Describe the entries that a change touches and the files that set them."""

    entries: set[EntryKey] = field(default_factory=set)
    tables_by_file: dict[str, Tables] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class IncrementalMerger:
    """Index which files set each entry, so that a merge reads only changed entries."""

    _indexed_files: dict[str, str] = field(default_factory=dict)
    _files_by_entry: dict[EntryKey, tuple[str, ...]] = field(default_factory=dict)
    _unsupported_files: set[str] = field(default_factory=set)

    def merge(
        self,
        before: Mapping[str, str],
        after: Mapping[str, str],
        current: Configuration,
    ) -> MergeResult:
        """Return the result of merge_files(after).

        The files in force are `before`; their configuration is `current`.
        """
        self._update_index(before)
        change = self._read_change(after)
        if change is None:
            return merge_files(after)
        result = apply_change(current, change)
        if isinstance(result, Configuration):
            return MergeResult(configuration=result)
        if result is None:
            return merge_files(after)
        return MergeResult(
            configuration=None, findings=self._locate_issues(result, change, after)
        )

    def warm_up(self, files: Mapping[str, str], n_files: int) -> None:
        """Index up to n_files files, ahead of the first change after a restart."""
        self._update_index(files, n_files)

    def _update_index(
        self, files: Mapping[str, str], n_files: int | None = None
    ) -> None:
        for name in [name for name in self._indexed_files if name not in files]:
            self._remove_from_index(name)
        outdated = [
            name for name in files if self._indexed_files.get(name) != files[name]
        ]
        for name in outdated[:n_files]:
            content = files[name]
            self._remove_from_index(name)
            self._indexed_files[name] = content
            tables = parse_entries(name, content)
            if tables is None:
                self._unsupported_files.add(name)
                continue
            for entry in list_entries(tables):
                files_of_entry = self._files_by_entry.get(entry, ())
                self._files_by_entry[entry] = tuple(sorted((*files_of_entry, name)))

    def _remove_from_index(self, name: str) -> None:
        content = self._indexed_files.pop(name, None)
        self._unsupported_files.discard(name)
        tables = parse_entries(name, content) if content is not None else None
        for entry in list_entries(tables or {}):
            remaining = tuple(
                item for item in self._files_by_entry[entry] if item != name
            )
            if remaining:
                self._files_by_entry[entry] = remaining
            else:
                del self._files_by_entry[entry]

    def _read_change(self, after: Mapping[str, str]) -> FileChange | None:
        changed = [
            name
            for name in after.keys() | self._indexed_files.keys()
            if after.get(name) != self._indexed_files.get(name)
        ]
        change = FileChange()
        if self._unsupported_files:
            return None
        for name in changed:
            for content in (self._indexed_files.get(name), after.get(name)):
                tables = parse_entries(name, content) if content is not None else {}
                if tables is None or FLEET_SECTION in tables:
                    return None
                change.entries.update(list_entries(tables))
                change.tables_by_file[name] = tables
        for name in self._list_other_files(change.entries, set(changed)):
            change.tables_by_file[name] = (
                parse_entries(name, self._indexed_files[name]) or {}
            )
        return change

    def _locate_issues(
        self, issues: Iterable[EntryIssue], change: FileChange, after: Mapping[str, str]
    ) -> tuple[Finding, ...]:
        findings = []
        for issue in issues:
            entry = (issue.path[0], issue.path[1])
            tables_by_file = dict(change.tables_by_file)
            for name in self._list_other_files([entry], set(tables_by_file)):
                tables_by_file[name] = (
                    parse_entries(name, self._indexed_files[name]) or {}
                )
            merged = merge_entry(entry, tables_by_file, [])
            findings.append(locate_finding(issue.path, issue.message, merged, after))
        return sort_findings(findings)

    def _list_other_files(
        self, entries: Iterable[EntryKey], listed: set[str]
    ) -> set[str]:
        names = {
            name for entry in entries for name in self._files_by_entry.get(entry, ())
        }
        return names - listed


@lru_cache(maxsize=MAX_CACHED_FILES)
def parse_entries(name: str, content: str) -> Tables | None:
    """Return a file's tables, or None if it is invalid or has unknown sections."""
    findings: list[Any] = []
    tables = parse_file(name, content, findings)
    if findings:
        return None
    for section, entries in tables.items():
        if not isinstance(entries, dict):
            return None
        if section == FLEET_SECTION:
            continue
        if section not in ENTRY_MODELS:
            return None
        if not all(isinstance(value, dict) for value in entries.values()):
            return None
    return tables


def list_entries(tables: Tables) -> list[EntryKey]:
    """Return the section and name of each entry outside the fleet section."""
    sections = [section for section in tables if section != FLEET_SECTION]
    return [(section, name) for section in sections for name in tables[section]]


def apply_change(
    current: Configuration, change: FileChange
) -> Configuration | list[EntryIssue] | None:
    """Return the new configuration or its issues; None if a full merge is needed."""
    sections = {name: dict(getattr(current, name)) for name in ENTRY_MODELS}
    issues: list[EntryIssue] = []
    for entry in sorted(change.entries):
        section, name = entry
        findings: list[Finding] = []
        merged = merge_entry(entry, change.tables_by_file, findings)
        value = merged.tables.get(section, {}).get(name)
        if findings or not is_identifier(name):
            return None
        if value is None:
            sections[section].pop(name, None)
            continue
        try:
            sections[section][name] = ENTRY_MODELS[section].model_validate(value)
        except ValidationError as error:
            issues.extend(list_entry_issues(entry, error))
    if issues:
        return issues
    after = current.model_copy(update=sections)
    if needs_reference_check(current, after, change):
        issues = [
            EntryIssue(path=path, message=message)
            for path, message in check_references(after)
        ]
    return issues or after


def needs_reference_check(
    current: Configuration, after: Configuration, change: FileChange
) -> bool:
    """Return whether a change can leave a reference to a missing entry."""
    # Most changes only set a budget's size. Checking 12,000 workspaces for each of
    # them would block the event loop on all hosts at the same time.
    if any(section in REFERRING_SECTIONS for section, _ in change.entries):
        return True
    return any(
        getattr(current, section).keys() - getattr(after, section).keys()
        for section in REFERRED_SECTIONS
    )


def list_entry_issues(entry: EntryKey, error: ValidationError) -> list[EntryIssue]:
    """Return the issues that a validation error lists for one entry."""
    return [
        EntryIssue(path=(*entry, *convert_location(item["loc"])), message=item["msg"])
        for item in error.errors(include_url=False, include_context=False)
    ]


def merge_entry(
    entry: EntryKey, tables_by_file: Mapping[str, Tables], findings: list[Finding]
) -> MergedTables:
    """Return the tables of one entry, merged from its files in name order."""
    section, name = entry
    merged = MergedTables()
    for file in sorted(tables_by_file):
        entries = tables_by_file[file].get(section, {})
        if name in entries:
            tables = {section: {name: entries[name]}}
            merge_tables(merged, tables, (), file, findings)
    return merged
