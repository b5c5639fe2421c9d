"""Run the operators' command line, trefoilstage."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    exit_with,
    finish_change,
    make_client,
    make_operation,
)
from trefoilstage.cli.config import HOSTS, ConfigCommand
from trefoilstage.cli.output import ExitCode, print_error, print_rows
from trefoilstage.components.operators.models import BudgetAnswer, TopUpBody
from trefoilstage.exceptions import NotReadyError

BUDGETS = TypeAdapter(list[BudgetAnswer])


@cappa.command(name="show")
@dataclass(kw_only=True)
class BudgetShowCommand:
    """Show what each budget has paid, spent, held and free."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the budgets."""
        budgets = make_client(self.host).get("/budgets", BUDGETS)
        columns = ("name", "paid", "spent", "held", "free", "doubtful")
        print_rows(budgets, columns, as_json=self.json)


@cappa.command(name="top-up")
@dataclass(kw_only=True)
class TopUpCommand:
    """Raise a budget by tokens that were paid for."""

    name: Annotated[str, cappa.Arg(help="the budget's name")]
    amount: Annotated[int, cappa.Arg(help="tokens to add")]
    host: HostOption
    json: JsonOption = False
    operation: Annotated[
        str | None, cappa.Arg(long=True, help="repeat an earlier order safely")
    ] = None

    def __call__(self) -> None:
        """Top the budget up."""
        body = TopUpBody(
            operation=self.operation or make_operation(), amount=self.amount
        )
        answer = make_client(self.host).post(f"/budgets/{self.name}/top-up", body)
        finish_change(answer, as_json=self.json)


@cappa.command(name="budget")
@dataclass(kw_only=True)
class BudgetCommand:
    """Show and top up budgets."""

    command: cappa.Subcommands[BudgetShowCommand | TopUpCommand]


@cappa.command(name="list")
@dataclass(kw_only=True)
class HostListCommand:
    """List the hosts of the fleet."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the hosts."""
        hosts = make_client(self.host).get("/hosts", HOSTS)
        columns = ("host", "data_center", "live", "caller_url", "operator_url")
        print_rows(hosts, columns, as_json=self.json)


@cappa.command(name="host")
@dataclass(kw_only=True)
class HostCommand:
    """List hosts."""

    command: cappa.Subcommands[HostListCommand]


@cappa.command(name="trefoilstage")
@dataclass(kw_only=True)
class Trefoilstage:
    """Operate a trefoilstage fleet."""

    command: cappa.Subcommands[ConfigCommand | BudgetCommand | HostCommand]


def main() -> None:
    """Run a command; end with its exit code."""
    try:
        cappa.invoke(Trefoilstage)
    except NotReadyError as error:
        print_error(f"no answer: {error}")
        exit_with(ExitCode.UNREACHABLE)
