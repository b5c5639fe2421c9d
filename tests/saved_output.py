"""Save the output of a failed test's processes."""

import sys
import uuid
from collections.abc import Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent


def save_process_output(lines_by_name: Mapping[str, Sequence[str]]) -> None:
    """Write each process's lines to a file in a new folder for debugging."""
    folder = ROOT / "results" / f"failed-{uuid.uuid4().hex[:8]}"
    folder.mkdir(parents=True)
    for name, lines in lines_by_name.items():
        (folder / f"{name}.log").write_text("\n".join(lines) + "\n")
    sys.stderr.write(f"output of the failed fleet saved in results/{folder.name}\n")
