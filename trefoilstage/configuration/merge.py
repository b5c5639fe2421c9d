"""Merge configuration files in name order and collect every finding."""

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
    """Hold the configuration, or the findings that keep it from being one."""

    configuration: Configuration | None
    findings: tuple[Finding, ...] = ()


@dataclass(kw_only=True, slots=True)
class MergedTables:
    """Hold the merged tables and the file that set each key last."""

    tables: dict[str, Any] = field(default_factory=dict)
    origins: dict[tuple[str, ...], str] = field(default_factory=dict)


def merge_files(files: Mapping[str, str]) -> MergeResult:
    """Merge files, a later name over an earlier one, and validate the result."""
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
        found = sort_findings(place_errors(error, merged, files))
        return MergeResult(configuration=None, findings=found)
    found = sort_findings(
        place_finding(path, message, merged, files)
        for path, message in check_references(configuration)
    )
    if found:
        return MergeResult(configuration=None, findings=found)
    return MergeResult(configuration=configuration)


def parse_file(name: str, text: str, findings: list[Finding]) -> dict[str, Any]:
    """Return a file's tables, or none after noting the finding."""
    if len(text.encode()) > MAX_FILE_BYTES:
        findings.append(Finding(file=name, line=1, key="", message="file too large"))
        return {}
    try:
        return tomllib.loads(text)
    # A number of thousands of digits raises a plain ValueError, not a decode
    # error; uncaught, one such file would end every host that folds it.
    except ValueError as error:
        line = find_error_line(str(error))
        findings.append(Finding(file=name, line=line, key="", message=str(error)))
    except RecursionError:
        findings.append(Finding(file=name, line=1, key="", message="nested too deep"))
    return {}


def find_error_line(message: str) -> int:
    """Return the line that a TOML error names, or 1."""
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
    """Lay the tables of one file over what earlier files gave."""
    # The limit is the same on every host, where the interpreter's own one
    # depends on how deep the call already is.
    if len(path) > MAX_DEPTH:
        key = ".".join(path)
        findings.append(Finding(file=name, line=1, key=key, message="nested too deep"))
        return
    place = merged.tables
    for part in path:
        place = place[part]
    for key, value in tables.items():
        merged.origins[(*path, key)] = name
        if isinstance(value, dict) and isinstance(place.get(key, {}), dict):
            place.setdefault(key, {})
            merge_tables(merged, value, (*path, key), name, findings)
        else:
            place[key] = value


def place_errors(
    error: ValidationError, merged: MergedTables, files: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield a finding for each validation error."""
    for item in error.errors(include_url=False, include_context=False):
        yield place_finding(make_path(item["loc"]), item["msg"], merged, files)


def make_path(location: tuple[int | str, ...]) -> tuple[str, ...]:
    """Return the keys of an error's location."""
    return tuple(str(part) for part in location if part != "[key]")


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Return findings in an order that every host agrees on."""

    def place(finding: Finding) -> tuple[str, int, str, str]:
        return finding.file, finding.line, finding.key, finding.message

    return tuple(sorted(findings, key=place))


def place_finding(
    path: tuple[str, ...],
    message: str,
    merged: MergedTables,
    files: Mapping[str, str],
) -> Finding:
    """Return a finding at the file and line that set a key last."""
    known = path
    while known and known not in merged.origins:
        known = known[:-1]
    name = merged.origins.get(known, "")
    line = find_key_line(files.get(name, ""), known)
    return Finding(file=name, line=line, key=".".join(path), message=message)


def find_key_line(text: str, path: tuple[str, ...]) -> int:
    """Return the line on which a key or its table is set, or 1."""
    prefix: tuple[str, ...] = ()
    best = 1
    best_depth = 0
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if line.startswith("["):
            head = line.strip("[]").split("#")[0].strip(" ]")
            prefix = split_key(head)
            here = prefix
        elif "=" in line and not line.startswith("#"):
            here = prefix + split_key(line.split("=", 1)[0])
        else:
            continue
        depth = len(here)
        if here == path[:depth] and depth > best_depth:
            best = number
            best_depth = depth
    return best


def split_key(text: str) -> tuple[str, ...]:
    """Return the parts of a dotted key."""
    return tuple(part.strip().strip("\"'") for part in text.strip().split("."))


def check_references(
    configuration: Configuration,
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the path and message of each name that leads nowhere."""
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
