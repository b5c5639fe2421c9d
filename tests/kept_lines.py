"""Keep what the processes of a failed test wrote."""

import sys
import uuid
from collections.abc import Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent


def keep_lines(lines_by_name: Mapping[str, Sequence[str]]) -> None:
    """Write the lines of each process to a folder of their own, to trace it by."""
    folder = ROOT / "results" / f"failed-{uuid.uuid4().hex[:8]}"
    folder.mkdir(parents=True)
    for name, lines in lines_by_name.items():
        (folder / f"{name}.log").write_text("\n".join(lines) + "\n")
    sys.stderr.write(f"lines of the failed fleet: {folder.name}\n")
