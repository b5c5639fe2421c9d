"""List targets, take them out of service and return them."""

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
from trefoilstage.cli.publish import Publisher, make_publisher, wait_for_all_hosts
from trefoilstage.components.operators.models import TargetAnswer

TARGETS_ADAPTER = TypeAdapter(list[TargetAnswer])
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
    """List targets with the requests that the answering host has sent to them."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the targets."""
        targets = make_client(self.host).get("/targets", TARGETS_ADAPTER)
        print_rows(targets, COLUMNS, as_json=self.json)


@dataclass(kw_only=True)
class TargetChangeCommand:
    """Define the options of the commands that change a target's state."""

    name: Annotated[str, cappa.Arg(help="the target's name")]
    host: HostOption
    json: JsonOption = False
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    @property
    def file_name(self) -> str:
        """Return the name of the configuration file that takes the target out."""
        return f"90-leave-{self.name}.toml"

    def make_publisher(self) -> Publisher:
        """Return a publisher that replaces a file whatever its content."""
        return make_publisher(
            host=self.host,
            operation=self.operation,
            base=None,
            replace=True,
            as_json=self.json,
        )


@cappa.command(name="leave", epilog=LEAVE_EXAMPLES)
@dataclass(kw_only=True)
class TargetLeaveCommand(TargetChangeCommand):
    """Stop new requests to a target by publishing a small file."""

    def __call__(self) -> None:
        """Publish the file."""
        publisher = self.make_publisher()
        known = {
            target.name for target in publisher.client.get("/targets", TARGETS_ADAPTER)
        }
        if self.name not in known:
            fail(ExitCode.REJECTED, f"no target {self.name}")
        content = f'[targets.{self.name}]\nstate = "leaving"\n'
        revision = publisher.publish(self.file_name, content)
        if self.wait_all:
            wait_for_all_hosts(publisher.client, revision)


@cappa.command(name="return", epilog=RETURN_EXAMPLES)
@dataclass(kw_only=True)
class TargetReturnCommand(TargetChangeCommand):
    """Send requests to a target again by removing the file that `leave` published."""

    def __call__(self) -> None:
        """Remove the file."""
        publisher = self.make_publisher()
        revision = publisher.remove(self.file_name)
        if self.wait_all:
            wait_for_all_hosts(publisher.client, revision)


@cappa.command(name="target")
@dataclass(kw_only=True)
class TargetCommand:
    """List targets, take them out of service and return them."""

    command: cappa.Subcommands[
        TargetListCommand | TargetLeaveCommand | TargetReturnCommand
    ]
