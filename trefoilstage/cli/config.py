"""Check and show configuration files."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from trefoilstage.cli.common import HostOption, JsonOption, exit_with, fail, make_client
from trefoilstage.cli.files import FILES_ADAPTER, read_files
from trefoilstage.cli.output import ExitCode, print_findings, print_rows
from trefoilstage.cli.publish import HISTORY_ADAPTER, PublishCommand, RemoveCommand
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
    """Check a folder of configuration files without a fleet; print all findings."""

    folder: Annotated[Path, cappa.Arg(help="the folder of TOML files")]
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the findings, or the number of files if all are valid."""
        if not self.folder.is_dir():
            fail(ExitCode.USAGE, f"{self.folder} is not a folder")
        files = read_files([self.folder])
        result = merge_files(files)
        if self.json:
            print(json.dumps([asdict(item) for item in result.findings], indent=2))
        elif not result.findings:
            print(f"{len(files)} files are valid")
        if result.findings:
            if not self.json:
                print_findings(result.findings)
            exit_with(ExitCode.REJECTED)


@cappa.command(name="show", epilog=SHOW_EXAMPLES)
@dataclass(kw_only=True)
class ShowCommand:
    """Show the files in force, in the order in which they are merged."""

    host: HostOption
    json: JsonOption = False
    name: Annotated[
        str | None, cappa.Arg(long=True, help="show the content of one file")
    ] = None

    def __call__(self) -> None:
        """Print the files."""
        files = make_client(self.host).get("/config/files", FILES_ADAPTER)
        if self.name is None:
            print_rows(files, ("name", "revision", "author"), as_json=self.json)
            return
        matching_files = [item for item in files if item.name == self.name]
        if not matching_files:
            fail(ExitCode.REJECTED, f"no file {self.name} is in force")
        print(
            matching_files[0].model_dump_json(indent=2)
            if self.json
            else matching_files[0].content
        )


@cappa.command(name="history", epilog=HISTORY_EXAMPLES)
@dataclass(kw_only=True)
class HistoryCommand:
    """Show the latest changes and their verdicts, oldest first."""

    host: HostOption
    json: JsonOption = False
    last: Annotated[int, cappa.Arg(long=True, help="number of changes to show")] = 50

    def __call__(self) -> None:
        """Print the changes."""
        entries = make_client(self.host).get("/config/history", HISTORY_ADAPTER)
        entries = entries[-self.last :] if self.last > 0 else []
        if self.json:
            print(json.dumps([asdict(entry) for entry in entries], indent=2))
            return
        for entry in entries:
            verdict = (
                "accepted" if entry.accepted else f"{entry.reason}: {entry.detail}"
            )
            author = entry.author or "-"
            print(
                f"{entry.offset:>8}  {entry.action:<8}{entry.name}  {author}  {verdict}"
            )


@cappa.command(name="config")
@dataclass(kw_only=True)
class ConfigCommand:
    """Check, publish, remove and show configuration files."""

    command: cappa.Subcommands[
        CheckCommand | PublishCommand | RemoveCommand | ShowCommand | HistoryCommand
    ]
