"""Read configuration files and tell how they differ from what is in force."""

import difflib
from collections.abc import Iterator, Sequence
from pathlib import Path

from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.common import fail
from trefoilstage.cli.output import ExitCode
from trefoilstage.components.operators.models import FileAnswer

FILES = TypeAdapter(list[FileAnswer])


def read_files(paths: Sequence[Path]) -> dict[str, str]:
    """Return the files given and those of the folders given, by name."""
    found = [path for given in paths for path in list_paths(given)]
    names = [path.name for path in found]
    for name in names:
        if names.count(name) > 1:
            fail(ExitCode.USAGE, f"{name} is given twice")
    try:
        files = {path.name: path.read_text() for path in found}
    except (OSError, UnicodeDecodeError) as error:
        fail(ExitCode.USAGE, str(error))
    return dict(sorted(files.items()))


def list_paths(given: Path) -> Iterator[Path]:
    """Yield a file, or the files of a folder."""
    if not given.is_dir():
        yield given
        return
    paths = sorted(given.glob("*.toml"))
    if not paths:
        fail(ExitCode.USAGE, f"no .toml files in {given}")
    yield from paths


def get_files(client: OperatorClient) -> dict[str, FileAnswer]:
    """Return the files in force by name."""
    return {item.name: item for item in client.get("/config/files", FILES)}


def describe_present(present: FileAnswer | None, name: str) -> str:
    """Return one line on what is in force under a name."""
    if present is None:
        return f"{name} is not in force now"
    author = f" by {present.author}" if present.author else ""
    return f"{name} is in force at revision {present.revision}{author}"


def describe_difference(present: FileAnswer | None, name: str, content: str) -> str:
    """Return the difference from what is in force to a file's content."""
    before = present.content if present is not None else ""
    lines = difflib.unified_diff(
        before.splitlines(),
        content.splitlines(),
        fromfile=f"{name} in force",
        tofile=f"{name} given",
        lineterm="",
    )
    return "\n".join(lines)
