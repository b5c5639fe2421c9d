"""Merge a change without parsing and checking the files that it leaves alone.

The verdict must not depend on what a host has at hand. So the quick way yields
exactly what the whole merge yields, findings included, or leaves it to decide.
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
    make_path,
    merge_files,
    merge_tables,
    parse_file,
    place_finding,
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
PARSED_FILES = 16

Entry = tuple[str, str]
Tables = dict[str, Any]


REFERRING_SECTIONS = frozenset({"workspaces", "targets"})
REFERRED_SECTIONS = ("budgets", "models", "sites")


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Hold a fault at its path, before its file and line are looked up."""

    path: tuple[str, ...]
    message: str


@dataclass(kw_only=True, slots=True)
class Change:
    """Hold the entries that a change touches and the files that set them."""

    touched: set[Entry] = field(default_factory=set)
    parsed: dict[str, Tables] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class IncrementalMerger:
    """Remember which files set each entry, so a change costs its own entries."""

    _files: dict[str, str] = field(default_factory=dict)
    _setters: dict[Entry, tuple[str, ...]] = field(default_factory=dict)
    _irregular: set[str] = field(default_factory=set)

    def merge(
        self,
        before: Mapping[str, str],
        after: Mapping[str, str],
        present: Configuration,
    ) -> MergeResult:
        """Return what merge_files(after) returns, given what is in force before."""
        self._follow(before)
        change = self._read_change(after)
        if change is None:
            return merge_files(after)
        quick = apply_change(present, change)
        if isinstance(quick, Configuration):
            return MergeResult(configuration=quick)
        if quick is None:
            return merge_files(after)
        return MergeResult(
            configuration=None, findings=self._place(quick, change, after)
        )

    def warm_up(self, files: Mapping[str, str], n_files: int) -> None:
        """Look at a few files ahead of the first change after a restart."""
        self._follow(files, n_files)

    def _follow(self, files: Mapping[str, str], n_files: int | None = None) -> None:
        for name in [name for name in self._files if name not in files]:
            self._forget(name)
        new = [name for name in files if self._files.get(name) != files[name]]
        for name in new[:n_files]:
            content = files[name]
            self._forget(name)
            self._files[name] = content
            tables = parse_entries(name, content)
            if tables is None:
                self._irregular.add(name)
                continue
            for entry in list_entries(tables):
                setters = self._setters.get(entry, ())
                self._setters[entry] = tuple(sorted((*setters, name)))

    def _forget(self, name: str) -> None:
        content = self._files.pop(name, None)
        self._irregular.discard(name)
        tables = parse_entries(name, content) if content is not None else None
        for entry in list_entries(tables or {}):
            rest = tuple(item for item in self._setters[entry] if item != name)
            if rest:
                self._setters[entry] = rest
            else:
                del self._setters[entry]

    def _read_change(self, after: Mapping[str, str]) -> Change | None:
        changed = [
            name
            for name in after.keys() | self._files.keys()
            if after.get(name) != self._files.get(name)
        ]
        change = Change()
        if self._irregular:
            return None
        for name in changed:
            for content in (self._files.get(name), after.get(name)):
                tables = parse_entries(name, content) if content is not None else {}
                if tables is None or FLEET_SECTION in tables:
                    return None
                change.touched.update(list_entries(tables))
                change.parsed[name] = tables
        for name in self._list_setters(change.touched, set(changed)):
            change.parsed[name] = parse_entries(name, self._files[name]) or {}
        return change

    def _place(
        self, faults: Iterable[Fault], change: Change, after: Mapping[str, str]
    ) -> tuple[Finding, ...]:
        findings = []
        for fault in faults:
            entry = (fault.path[0], fault.path[1])
            parsed = dict(change.parsed)
            for name in self._list_setters([entry], set(parsed)):
                parsed[name] = parse_entries(name, self._files[name]) or {}
            merged = merge_entry(entry, parsed, [])
            findings.append(place_finding(fault.path, fault.message, merged, after))
        return sort_findings(findings)

    def _list_setters(self, touched: Iterable[Entry], known: set[str]) -> set[str]:
        names = {name for entry in touched for name in self._setters.get(entry, ())}
        return names - known


@lru_cache(maxsize=PARSED_FILES)
def parse_entries(name: str, content: str) -> Tables | None:
    """Return a file's tables if it sets nothing but entries of known sections."""
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


def list_entries(tables: Tables) -> list[Entry]:
    """Return the section and name of each entry."""
    sections = [section for section in tables if section != FLEET_SECTION]
    return [(section, name) for section in sections for name in tables[section]]


def apply_change(
    present: Configuration, change: Change
) -> Configuration | list[Fault] | None:
    """Return the changed configuration, its faults, or None when in doubt."""
    sections = {name: dict(getattr(present, name)) for name in ENTRY_MODELS}
    faults: list[Fault] = []
    for entry in sorted(change.touched):
        section, name = entry
        findings: list[Finding] = []
        merged = merge_entry(entry, change.parsed, findings)
        value = merged.tables.get(section, {}).get(name)
        if findings or not is_identifier(name):
            return None
        if value is None:
            sections[section].pop(name, None)
            continue
        try:
            sections[section][name] = ENTRY_MODELS[section].model_validate(value)
        except ValidationError as error:
            faults.extend(list_faults(entry, error))
    if faults:
        return faults
    after = present.model_copy(update=sections)
    if needs_reference_check(present, after, change):
        faults = [
            Fault(path=path, message=message)
            for path, message in check_references(after)
        ]
    return faults or after


def needs_reference_check(
    present: Configuration, after: Configuration, change: Change
) -> bool:
    """Tell whether a change can leave a name that leads nowhere."""
    # Most changes set a budget anew, and looking at 12,000 workspaces for
    # each would stall the loop on every host at the same moment.
    if any(section in REFERRING_SECTIONS for section, _ in change.touched):
        return True
    return any(
        getattr(present, section).keys() - getattr(after, section).keys()
        for section in REFERRED_SECTIONS
    )


def list_faults(entry: Entry, error: ValidationError) -> list[Fault]:
    """Return the faults in one entry."""
    return [
        Fault(path=(*entry, *make_path(item["loc"])), message=item["msg"])
        for item in error.errors(include_url=False, include_context=False)
    ]


def merge_entry(
    entry: Entry, parsed: Mapping[str, Tables], findings: list[Finding]
) -> MergedTables:
    """Return the tables that hold one entry as the files set it in name order."""
    section, name = entry
    merged = MergedTables()
    for file in sorted(parsed):
        entries = parsed[file].get(section, {})
        if name in entries:
            tables = {section: {name: entries[name]}}
            merge_tables(merged, tables, (), file, findings)
    return merged
