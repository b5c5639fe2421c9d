"""Check, publish and show configuration files."""

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    exit_with,
    finish_change,
    get_author,
    make_client,
    make_operation,
)
from trefoilstage.cli.output import ExitCode, print_error, print_rows
from trefoilstage.components.operators.models import (
    FileAnswer,
    HostAnswer,
    PublishBody,
    RemoveBody,
    StatusAnswer,
)
from trefoilstage.configuration.fold import HistoryEntry
from trefoilstage.configuration.merge import merge_files
from trefoilstage.exceptions import NotReadyError

FILES = TypeAdapter(list[FileAnswer])
HOSTS = TypeAdapter(list[HostAnswer])
STATUS = TypeAdapter(StatusAnswer)
HISTORY = TypeAdapter(list[HistoryEntry])
WAIT_ALL_S = 30.0
WAIT_POLL_S = 0.1


@cappa.command(name="check")
@dataclass(kw_only=True)
class CheckCommand:
    """Check a folder of files without a fleet; print every finding."""

    folder: Annotated[Path, cappa.Arg(help="the folder of TOML files")]

    def __call__(self) -> None:
        """Print findings, or the number of files found good."""
        files = {path.name: path.read_text() for path in self.folder.glob("*.toml")}
        if not files:
            print_error(f"no .toml files in {self.folder}")
            exit_with(ExitCode.USAGE)
        result = merge_files(files)
        for finding in result.findings:
            print_error(str(finding))
        if result.findings:
            exit_with(ExitCode.REJECTED)
        print(f"{len(files)} files are good")


@cappa.command(name="publish")
@dataclass(kw_only=True)
class PublishCommand:
    """Publish files and wait until each is accepted or rejected."""

    files: Annotated[list[Path], cappa.Arg(help="files to publish, in order")]
    host: HostOption
    json: JsonOption = False
    base: Annotated[
        int | None, cappa.Arg(long=True, help="the revision the edit was based on")
    ] = None
    wait_all: Annotated[
        bool, cappa.Arg(long=True, help="wait until in force on every live host")
    ] = False

    def __call__(self) -> None:
        """Publish the files one by one."""
        client = make_client(self.host)
        revision = -1
        for path in self.files:
            body = PublishBody(
                operation=make_operation(),
                name=path.name,
                content=path.read_text(),
                base_revision=self.base,
                author=get_author(),
            )
            answer = client.post("/config/publish", body)
            finish_change(answer, as_json=self.json)
            revision = answer.revision
        if self.wait_all:
            wait_for_all(client, revision)


@cappa.command(name="remove")
@dataclass(kw_only=True)
class RemoveCommand:
    """Remove a file and wait until that is accepted or rejected."""

    name: Annotated[str, cappa.Arg(help="the file's name")]
    host: HostOption
    json: JsonOption = False
    base: Annotated[
        int | None, cappa.Arg(long=True, help="the revision the edit was based on")
    ] = None
    wait_all: Annotated[
        bool, cappa.Arg(long=True, help="wait until in force on every live host")
    ] = False

    def __call__(self) -> None:
        """Remove the file."""
        client = make_client(self.host)
        body = RemoveBody(
            operation=make_operation(),
            name=self.name,
            base_revision=self.base,
            author=get_author(),
        )
        answer = client.post("/config/remove", body)
        finish_change(answer, as_json=self.json)
        if self.wait_all:
            wait_for_all(client, answer.revision)


@cappa.command(name="show")
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
            print_rows(files, ("name", "revision"), as_json=self.json)
            return
        for item in files:
            if item.name == self.name:
                print(item.content, end="")
                return
        print_error(f"no file {self.name} is in force")
        exit_with(ExitCode.REJECTED)


@cappa.command(name="history")
@dataclass(kw_only=True)
class HistoryCommand:
    """Show what became of the latest changes."""

    host: HostOption

    def __call__(self) -> None:
        """Print the changes, oldest first."""
        for entry in make_client(self.host).get("/config/history", HISTORY):
            state = "accepted" if entry.accepted else f"rejected: {entry.detail}"
            print(f"{entry.offset} {entry.action} {entry.name} {entry.author} {state}")


@cappa.command(name="config")
@dataclass(kw_only=True)
class ConfigCommand:
    """Check, publish, remove and show configuration files."""

    command: cappa.Subcommands[
        CheckCommand | PublishCommand | RemoveCommand | ShowCommand | HistoryCommand
    ]


def wait_for_all(client: OperatorClient, revision: int) -> None:
    """Wait until a revision is in force on every live host."""
    deadline = time.monotonic() + WAIT_ALL_S
    behind: list[str] = []
    while time.monotonic() < deadline:
        hosts = [host for host in client.get("/hosts", HOSTS) if host.live]
        behind = [host.host for host in hosts if not has_revision(host, revision)]
        if not behind:
            print(f"in force on {len(hosts)} hosts")
            return
        time.sleep(WAIT_POLL_S)
    print_error(f"accepted, but not seen in force on: {', '.join(behind)}")
    exit_with(ExitCode.UNKNOWN)


def has_revision(host: HostAnswer, revision: int) -> bool:
    """Tell whether a host says that it has a revision in force."""
    try:
        status = OperatorClient(url=host.operator_url).get("/status", STATUS)
    except NotReadyError:
        return False
    return bool(status.revision >= revision)
