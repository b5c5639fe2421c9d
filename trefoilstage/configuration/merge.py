"""Merge configuration files in name order and collect all findings.

A finding is an error for the operator, located at a file, line and key.
"""

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from trefoilstage.configuration.schema import Configuration
from trefoilstage.helpers.finding import Finding

MAX_FILE_BYTES = 200_000
MAX_DEPTH = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeResult:
    """Represent a valid configuration, or the findings that make it invalid."""

    configuration: Configuration | None
    findings: tuple[Finding, ...] = ()


@dataclass(kw_only=True, slots=True)
class MergedTables:
    """Represent the merged tables and the file that last set each key."""

    tables: dict[str, Any] = field(default_factory=dict)
    origins: dict[tuple[str, ...], str] = field(default_factory=dict)


def merge_files(files: Mapping[str, str]) -> MergeResult:
    """Merge files in name order, later files overriding earlier ones, and validate."""
    merged = MergedTables()
    findings: list[Finding] = []
    for name in sorted(files):
        tables = parse_file(name, files[name], findings)
        merge_tables(merged, tables, (), name, findings)
    if findings:
        return MergeResult(configuration=None, findings=tuple(findings))
    try:
        configuration = Configuration.model_validate(merged.tables)
    except ValidationError as error:
        found = sort_findings(locate_errors(error, merged, files))
        return MergeResult(configuration=None, findings=found)
    found = sort_findings(
        locate_finding(path, message, merged, files)
        for path, message in check_references(configuration)
    )
    if found:
        return MergeResult(configuration=None, findings=found)
    return MergeResult(configuration=configuration)


def parse_file(name: str, text: str, findings: list[Finding]) -> dict[str, Any]:
    """Return a file's tables, or an empty dict after adding a finding."""
    if len(text.encode()) > MAX_FILE_BYTES:
        findings.append(Finding(file=name, line=1, key="", message="file too large"))
        return {}
    try:
        return tomllib.loads(text)
    # A number with thousands of digits raises a plain ValueError instead of a
    # decode error; if uncaught, it would crash every host that folds the file.
    except ValueError as error:
        line = find_error_line(str(error))
        findings.append(Finding(file=name, line=line, key="", message=str(error)))
    except RecursionError:
        findings.append(Finding(file=name, line=1, key="", message="nested too deep"))
    return {}


def find_error_line(message: str) -> int:
    """Return the line number in a TOML error message, or 1."""
    words = message.replace(",", " ").replace(")", " ").split()
    if "line" not in words:
        return 1
    position = words.index("line") + 1
    return int(words[position]) if words[position].isdigit() else 1


def merge_tables(
    merged: MergedTables,
    tables: dict[str, Any],
    path: tuple[str, ...],
    name: str,
    findings: list[Finding],
) -> None:
    """Merge the tables of one file over those of earlier files."""
    # This limit is the same on every host, whereas the interpreter's recursion
    # limit depends on how deep the call stack already is.
    if len(path) > MAX_DEPTH:
        key = ".".join(path)
        findings.append(Finding(file=name, line=1, key=key, message="nested too deep"))
        return
    target_table = merged.tables
    for part in path:
        target_table = target_table[part]
    for key, value in tables.items():
        merged.origins[(*path, key)] = name
        if isinstance(value, dict) and isinstance(target_table.get(key, {}), dict):
            target_table.setdefault(key, {})
            merge_tables(merged, value, (*path, key), name, findings)
        else:
            target_table[key] = value


def locate_errors(
    error: ValidationError, merged: MergedTables, files: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield a finding for each validation error."""
    for item in error.errors(include_url=False, include_context=False):
        yield locate_finding(convert_location(item["loc"]), item["msg"], merged, files)


def convert_location(location: tuple[int | str, ...]) -> tuple[str, ...]:
    """Return the key path of a validation error's location."""
    return tuple(str(part) for part in location if part != "[key]")


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Return findings sorted in the same order on every host."""

    def get_sort_key(finding: Finding) -> tuple[str, int, str, str]:
        return finding.file, finding.line, finding.key, finding.message

    return tuple(sorted(findings, key=get_sort_key))


def locate_finding(
    path: tuple[str, ...],
    message: str,
    merged: MergedTables,
    files: Mapping[str, str],
) -> Finding:
    """Return a finding located at the file and line that last set a key."""
    known_path = path
    while known_path and known_path not in merged.origins:
        known_path = known_path[:-1]
    name = merged.origins.get(known_path, "")
    line = find_key_line(files.get(name, ""), known_path)
    return Finding(file=name, line=line, key=".".join(path), message=message)


def find_key_line(text: str, path: tuple[str, ...]) -> int:
    """Return the line that sets a key or its closest enclosing table, or 1."""
    prefix: tuple[str, ...] = ()
    best_line = 1
    best_depth = 0
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if line.startswith("["):
            table_name = line.strip("[]").split("#")[0].strip(" ]")
            prefix = split_key(table_name)
            key_path = prefix
        elif "=" in line and not line.startswith("#"):
            key_path = prefix + split_key(line.split("=", 1)[0])
        else:
            continue
        depth = len(key_path)
        if key_path == path[:depth] and depth > best_depth:
            best_line = number
            best_depth = depth
    return best_line


def split_key(text: str) -> tuple[str, ...]:
    """Return the parts of a dotted key."""
    return tuple(part.strip().strip("\"'") for part in text.strip().split("."))


def check_references(
    configuration: Configuration,
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the path and message of each broken reference or API key used twice."""
    owners: dict[str, str] = {}
    for name, workspace in sorted(configuration.workspaces.items()):
        if workspace.budget not in configuration.budgets:
            path = ("workspaces", name, "budget")
            yield path, f"no budget named {workspace.budget!r}"
        for digest in workspace.key_sha256:
            if owners.setdefault(digest, name) != name:
                path = ("workspaces", name, "key_sha256")
                yield path, f"key already names workspace {owners[digest]!r}"
    for name, target in configuration.targets.items():
        if target.model not in configuration.models:
            yield ("targets", name, "model"), f"no model named {target.model!r}"
        if target.site not in configuration.sites:
            yield ("targets", name, "site"), f"no site named {target.site!r}"
