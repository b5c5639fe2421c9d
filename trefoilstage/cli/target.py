"""List targets, and let them leave and return."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    OperationOption,
    WaitAllOption,
    fail,
    make_client,
)
from trefoilstage.cli.output import ExitCode, print_rows
from trefoilstage.cli.publish import Publisher, open_publisher, wait_for_all
from trefoilstage.components.operators.models import TargetAnswer

TARGETS = TypeAdapter(list[TargetAnswer])
COLUMNS = ("name", "model", "site", "state", "active", "failures", "url")

LIST_EXAMPLES = """Example:

    trefoilstage target list
"""
LEAVE_EXAMPLES = """Example:

    trefoilstage target leave assistant-brest-2 --wait-all
"""
RETURN_EXAMPLES = """Example:

    trefoilstage target return assistant-brest-2
"""


@cappa.command(name="list", epilog=LIST_EXAMPLES)
@dataclass(kw_only=True)
class TargetListCommand:
    """List the targets with what the asked host has sent them."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the targets."""
        targets = make_client(self.host).get("/targets", TARGETS)
        print_rows(targets, COLUMNS, as_json=self.json)


@dataclass(kw_only=True)
class TargetChange:
    """Hold the options of the verbs that change a target's state."""

    name: Annotated[str, cappa.Arg(help="the target's name")]
    host: HostOption
    json: JsonOption = False
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    @property
    def file(self) -> str:
        """Return the name of the file that lets the target leave."""
        return f"90-leave-{self.name}.toml"

    def open_publisher(self) -> Publisher:
        """Return a publisher that replaces what a file holds."""
        return open_publisher(
            host=self.host,
            operation=self.operation,
            base=None,
            replace=True,
            as_json=self.json,
        )


@cappa.command(name="leave", epilog=LEAVE_EXAMPLES)
@dataclass(kw_only=True)
class TargetLeaveCommand(TargetChange):
    """Give a target no new work, by publishing one small file."""

    def __call__(self) -> None:
        """Publish the file."""
        publisher = self.open_publisher()
        known = {target.name for target in publisher.client.get("/targets", TARGETS)}
        if self.name not in known:
            fail(ExitCode.REJECTED, f"no target {self.name}")
        content = f'[targets.{self.name}]\nstate = "leaving"\n'
        revision = publisher.publish(self.file, content)
        if self.wait_all:
            wait_for_all(publisher.client, revision)


@cappa.command(name="return", epilog=RETURN_EXAMPLES)
@dataclass(kw_only=True)
class TargetReturnCommand(TargetChange):
    """Give a target work again, by removing the file that `leave` published."""

    def __call__(self) -> None:
        """Remove the file."""
        publisher = self.open_publisher()
        revision = publisher.remove(self.file)
        if self.wait_all:
            wait_for_all(publisher.client, revision)


@cappa.command(name="target")
@dataclass(kw_only=True)
class TargetCommand:
    """List targets, and let them leave and return."""

    command: cappa.Subcommands[
        TargetListCommand | TargetLeaveCommand | TargetReturnCommand
    ]
