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
    pick_operation,
)
from trefoilstage.cli.output import ExitCode, print_rows
from trefoilstage.cli.publish import Publisher, wait_for_all
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


@cappa.command(name="leave", epilog=LEAVE_EXAMPLES)
@dataclass(kw_only=True)
class TargetLeaveCommand:
    """Give a target no new work, by publishing one small file."""

    name: Annotated[str, cappa.Arg(help="the target's name")]
    host: HostOption
    json: JsonOption = False
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Publish the file."""
        client = make_client(self.host)
        known = {target.name for target in client.get("/targets", TARGETS)}
        if self.name not in known:
            fail(ExitCode.REJECTED, f"no target {self.name}")
        publisher = Publisher(
            client=client,
            operation=pick_operation(self.operation),
            replace=True,
            as_json=self.json,
        )
        content = f'[targets.{self.name}]\nstate = "leaving"\n'
        revision = publisher.publish(name_file(self.name), content)
        if self.wait_all:
            wait_for_all(client, revision)


@cappa.command(name="return", epilog=RETURN_EXAMPLES)
@dataclass(kw_only=True)
class TargetReturnCommand:
    """Give a target work again, by removing the file that `leave` published."""

    name: Annotated[str, cappa.Arg(help="the target's name")]
    host: HostOption
    json: JsonOption = False
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Remove the file."""
        client = make_client(self.host)
        publisher = Publisher(
            client=client,
            operation=pick_operation(self.operation),
            replace=True,
            as_json=self.json,
        )
        revision = publisher.remove(name_file(self.name))
        if self.wait_all:
            wait_for_all(client, revision)


@cappa.command(name="target")
@dataclass(kw_only=True)
class TargetCommand:
    """List targets, and let them leave and return."""

    command: cappa.Subcommands[
        TargetListCommand | TargetLeaveCommand | TargetReturnCommand
    ]


def name_file(target: str) -> str:
    """Return the name of the file that lets a target leave."""
    return f"90-leave-{target}.toml"
