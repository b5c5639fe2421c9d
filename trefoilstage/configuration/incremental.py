"""Merge one changed file without parsing and checking all others again.

The verdict must not depend on which host has what at hand. So the quick way only
ever accepts what the whole merge would accept, with an equal configuration; for
everything else the whole merge decides and names the findings.
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
    merge_files,
    merge_tables,
    parse_file,
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
        quick = self._merge_quickly(after, present)
        if quick is not None:
            return MergeResult(configuration=quick)
        return merge_files(after)

    def _follow(self, files: Mapping[str, str]) -> None:
        for name in [name for name in self._files if name not in files]:
            self._forget(name)
        for name, content in files.items():
            if self._files.get(name) == content:
                continue
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

    def _merge_quickly(
        self, after: Mapping[str, str], present: Configuration
    ) -> Configuration | None:
        changed = [
            name
            for name in after.keys() | self._files.keys()
            if after.get(name) != self._files.get(name)
        ]
        parsed: dict[str, Tables] = {}
        touched: set[Entry] = set()
        if self._irregular:
            return None
        for name in changed:
            for content in (self._files.get(name), after.get(name)):
                tables = parse_entries(name, content) if content is not None else {}
                if tables is None or FLEET_SECTION in tables:
                    return None
                touched.update(list_entries(tables))
                parsed[name] = tables
        for name in self._list_setters(touched, set(changed)):
            tables = parse_entries(name, self._files[name])
            if tables is None:
                return None
            parsed[name] = tables
        return build_configuration(present, touched, parsed)

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


def build_configuration(
    present: Configuration, touched: Iterable[Entry], parsed: Mapping[str, Tables]
) -> Configuration | None:
    """Return the present configuration with the touched entries merged anew."""
    sections = {name: dict(getattr(present, name)) for name in ENTRY_MODELS}
    for section, name in sorted(touched):
        value = merge_entry(section, name, parsed)
        if value is None:
            sections[section].pop(name, None)
            continue
        if not is_identifier(name):
            return None
        try:
            sections[section][name] = ENTRY_MODELS[section].model_validate(value)
        except ValidationError:
            return None
    after = present.model_copy(update=sections)
    if any(True for _ in check_references(after)):
        return None
    return after


def merge_entry(section: str, name: str, parsed: Mapping[str, Tables]) -> Tables | None:
    """Return an entry as the files set it in name order, or None if none does."""
    merged = MergedTables()
    for file in sorted(parsed):
        entries = parsed[file].get(section, {})
        if name in entries:
            merge_tables(merged, {section: {name: entries[name]}}, (), file, [])
    value = merged.tables.get(section, {}).get(name)
    return value if isinstance(value, dict) else None
