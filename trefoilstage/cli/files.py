"""Read configuration files and compare them with the files in force."""

import difflib
from collections.abc import Iterator, Sequence
from pathlib import Path

from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.common import fail
from trefoilstage.cli.output import ExitCode
from trefoilstage.components.operators.models import FileAnswer

FILES_ADAPTER = TypeAdapter(list[FileAnswer])


def read_files(paths: Sequence[Path]) -> dict[str, str]:
    """Return the contents of the given files and folders by file name."""
    file_paths = [path for given_path in paths for path in list_paths(given_path)]
    names = [path.name for path in file_paths]
    for name in names:
        if names.count(name) > 1:
            fail(ExitCode.USAGE, f"{name} is given twice")
    try:
        files = {path.name: path.read_text() for path in file_paths}
    except (OSError, UnicodeDecodeError) as error:
        fail(ExitCode.USAGE, str(error))
    return dict(sorted(files.items()))


def list_paths(given_path: Path) -> Iterator[Path]:
    """Yield the path of a file, or of each .toml file in a folder."""
    if not given_path.is_dir():
        yield given_path
        return
    paths = sorted(given_path.glob("*.toml"))
    if not paths:
        fail(ExitCode.USAGE, f"no .toml files in {given_path}")
    yield from paths


def get_files_in_force(client: OperatorClient) -> dict[str, FileAnswer]:
    """Return the files in force by name."""
    return {item.name: item for item in client.get("/config/files", FILES_ADAPTER)}


def describe_current_file(current: FileAnswer | None, name: str) -> str:
    """Return one line that says which revision of a file is in force."""
    if current is None:
        return f"{name} is not in force now"
    author = f" by {current.author}" if current.author else ""
    return f"{name} is in force at revision {current.revision}{author}"


def format_diff(current: FileAnswer | None, name: str, content: str) -> str:
    """Return a unified diff from the file in force to the given content."""
    before = current.content if current is not None else ""
    lines = difflib.unified_diff(
        before.splitlines(),
        content.splitlines(),
        fromfile=f"{name} in force",
        tofile=f"{name} given",
        lineterm="",
    )
    return "\n".join(lines)
