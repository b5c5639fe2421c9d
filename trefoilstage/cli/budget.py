"""Show and top up budgets."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    OperationOption,
    get_or_create_operation,
    make_client,
    report_verdict,
)
from trefoilstage.cli.output import print_rows
from trefoilstage.components.operators.models import BudgetAnswer, TopUpBody

BUDGETS_ADAPTER = TypeAdapter(list[BudgetAnswer])
COLUMNS = ("name", "paid", "spent", "held", "free", "doubtful")

SHOW_EXAMPLES = """Examples:

    trefoilstage budget show

    trefoilstage budget show --json
"""
TOP_UP_EXAMPLES = """Examples:

    trefoilstage budget top-up festivals 5000000

    trefoilstage budget top-up festivals 5000000 --operation invoice-2026-118
"""


@cappa.command(name="show", epilog=SHOW_EXAMPLES)
@dataclass(kw_only=True)
class BudgetShowCommand:
    """Show the paid, spent, held and free tokens of each budget."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the budgets."""
        budgets = make_client(self.host).get("/budgets", BUDGETS_ADAPTER)
        print_rows(budgets, COLUMNS, as_json=self.json)


@cappa.command(name="top-up", epilog=TOP_UP_EXAMPLES)
@dataclass(kw_only=True)
class TopUpCommand:
    """Add paid tokens to a budget."""

    name: Annotated[str, cappa.Arg(help="the budget's name")]
    amount: Annotated[int, cappa.Arg(help="tokens to add")]
    host: HostOption
    json: JsonOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Send the top-up and print the verdict."""
        body = TopUpBody(
            operation=get_or_create_operation(self.operation), amount=self.amount
        )
        answer = make_client(self.host).submit_change(
            f"/budgets/{self.name}/top-up", body
        )
        report_verdict(answer, subject=f"{self.name} +{self.amount}", as_json=self.json)


@cappa.command(name="budget")
@dataclass(kw_only=True)
class BudgetCommand:
    """Show and top up budgets."""

    command: cappa.Subcommands[BudgetShowCommand | TopUpCommand]
