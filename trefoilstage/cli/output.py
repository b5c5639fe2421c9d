"""Print answers as tables or as JSON for scripts."""

import json
import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum

from pydantic import BaseModel

from trefoilstage.helpers.finding import Finding


class ExitCode(IntEnum):
    """List the exit codes of the command line."""

    OK = 0
    REJECTED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


def print_rows(
    rows: Sequence[BaseModel], columns: Sequence[str], *, as_json: bool
) -> None:
    """Print models as a table with one row each, or as JSON."""
    if as_json:
        print(json.dumps([row.model_dump(mode="json") for row in rows], indent=2))
        return
    table = [[column.upper() for column in columns]]
    table += [[str(getattr(row, column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    for line in table:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


def print_model(model: BaseModel, columns: Sequence[str], *, as_json: bool) -> None:
    """Print some fields of a model, one per line, or the whole model as JSON."""
    if as_json:
        print(model.model_dump_json(indent=2))
        return
    width = max(map(len, columns))
    for column in columns:
        print(f"{column.ljust(width)}  {getattr(model, column)}")


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings to standard error, one per line."""
    for finding in findings:
        print_error(str(finding))


def print_error(message: str) -> None:
    """Print a message to standard error."""
    sys.stderr.write(f"{message}\n")
