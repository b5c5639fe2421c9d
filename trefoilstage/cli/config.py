"""Check and show configuration files."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from trefoilstage.cli.common import HostOption, JsonOption, exit_with, fail, make_client
from trefoilstage.cli.files import FILES, read_files
from trefoilstage.cli.output import ExitCode, print_findings, print_rows
from trefoilstage.cli.publish import HISTORY, PublishCommand, RemoveCommand
from trefoilstage.configuration.merge import merge_files

CHECK_EXAMPLES = """Example:

    trefoilstage config check examples/armor/config
"""
SHOW_EXAMPLES = """Examples:

    trefoilstage config show

    trefoilstage config show --name 20-budgets.toml > 20-budgets.toml
"""
HISTORY_EXAMPLES = """Example:

    trefoilstage config history --last 20
"""


@cappa.command(name="check", epilog=CHECK_EXAMPLES)
@dataclass(kw_only=True)
class CheckCommand:
    """Check a folder of files without a fleet and print every finding."""

    folder: Annotated[Path, cappa.Arg(help="the folder of TOML files")]
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the findings, or the number of files found good."""
        if not self.folder.is_dir():
            fail(ExitCode.USAGE, f"{self.folder} is no folder")
        files = read_files([self.folder])
        result = merge_files(files)
        if self.json:
            print(json.dumps([asdict(item) for item in result.findings], indent=2))
        elif not result.findings:
            print(f"{len(files)} files are good")
        if result.findings:
            if not self.json:
                print_findings(result.findings)
            exit_with(ExitCode.REJECTED)


@cappa.command(name="show", epilog=SHOW_EXAMPLES)
@dataclass(kw_only=True)
class ShowCommand:
    """Show the files in force in the order of their merge."""

    host: HostOption
    json: JsonOption = False
    name: Annotated[str | None, cappa.Arg(long=True, help="show one file's text")] = (
        None
    )

    def __call__(self) -> None:
        """Print the files."""
        files = make_client(self.host).get("/config/files", FILES)
        if self.name is None:
            print_rows(files, ("name", "revision", "author"), as_json=self.json)
            return
        found = [item for item in files if item.name == self.name]
        if not found:
            fail(ExitCode.REJECTED, f"no file {self.name} is in force")
        print(found[0].model_dump_json(indent=2) if self.json else found[0].content)


@cappa.command(name="history", epilog=HISTORY_EXAMPLES)
@dataclass(kw_only=True)
class HistoryCommand:
    """Show what became of the latest changes, oldest first."""

    host: HostOption
    json: JsonOption = False
    last: Annotated[int, cappa.Arg(long=True, help="how many changes")] = 50

    def __call__(self) -> None:
        """Print the changes."""
        entries = make_client(self.host).get("/config/history", HISTORY)
        entries = entries[-self.last :] if self.last > 0 else []
        if self.json:
            print(json.dumps([asdict(entry) for entry in entries], indent=2))
            return
        for entry in entries:
            state = "accepted" if entry.accepted else f"{entry.reason}: {entry.detail}"
            author = entry.author or "-"
            print(
                f"{entry.offset:>8}  {entry.action:<8}{entry.name}  {author}  {state}"
            )


@cappa.command(name="config")
@dataclass(kw_only=True)
class ConfigCommand:
    """Check, publish, remove and show configuration files."""

    command: cappa.Subcommands[
        CheckCommand | PublishCommand | RemoveCommand | ShowCommand | HistoryCommand
    ]
