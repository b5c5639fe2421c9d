"""Show and top up budgets."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    OperationOption,
    finish_change,
    make_client,
    pick_operation,
)
from trefoilstage.cli.output import print_rows
from trefoilstage.components.operators.models import BudgetAnswer, TopUpBody

BUDGETS = TypeAdapter(list[BudgetAnswer])
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
    """Show what each budget has paid, spent, held and free, in tokens."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the budgets."""
        budgets = make_client(self.host).get("/budgets", BUDGETS)
        print_rows(budgets, COLUMNS, as_json=self.json)


@cappa.command(name="top-up", epilog=TOP_UP_EXAMPLES)
@dataclass(kw_only=True)
class TopUpCommand:
    """Raise a budget by tokens that were paid for."""

    name: Annotated[str, cappa.Arg(help="the budget's name")]
    amount: Annotated[int, cappa.Arg(help="tokens to add")]
    host: HostOption
    json: JsonOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Top the budget up."""
        body = TopUpBody(operation=pick_operation(self.operation), amount=self.amount)
        answer = make_client(self.host).change(f"/budgets/{self.name}/top-up", body)
        finish_change(answer, what=f"{self.name} +{self.amount}", as_json=self.json)


@cappa.command(name="budget")
@dataclass(kw_only=True)
class BudgetCommand:
    """Show and top up budgets."""

    command: cappa.Subcommands[BudgetShowCommand | TopUpCommand]
