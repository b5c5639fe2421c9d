"""Run trefoilstage, the command line for operators."""

from dataclasses import dataclass

import cappa
from pydantic import ValidationError

from trefoilstage.cli.budget import BudgetCommand
from trefoilstage.cli.client import OperatorError
from trefoilstage.cli.common import exit_with, fail
from trefoilstage.cli.config import ConfigCommand
from trefoilstage.cli.host import HostCommand
from trefoilstage.cli.key import KeyCommand
from trefoilstage.cli.log import LogCommand
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.cli.request import RequestCommand
from trefoilstage.cli.target import TargetCommand
from trefoilstage.exceptions import NotReadyError

EXIT_CODES = """Exit codes:

    0  succeeded, or found valid
    1  rejected or refused; the output gives the reason
    2  wrong usage
    3  result not known yet; repeat the change with the same --operation
    4  no host answered
"""


@cappa.command(name="trefoilstage", epilog=EXIT_CODES)
@dataclass(kw_only=True)
class Trefoilstage:
    """Operate a trefoilstage fleet."""

    command: cappa.Subcommands[
        ConfigCommand
        | BudgetCommand
        | TargetCommand
        | HostCommand
        | RequestCommand
        | KeyCommand
        | LogCommand
    ]


def main() -> None:
    """Run a command and exit with its exit code."""
    try:
        cappa.invoke(Trefoilstage)
    except ValidationError as error:
        for item in error.errors(include_input=False, include_url=False):
            print_error(f"{'.'.join(map(str, item['loc']))}: {item['msg']}")
        exit_with(ExitCode.USAGE)
    except OperatorError as error:
        fail(ExitCode.REJECTED, str(error))
    except NotReadyError as error:
        fail(ExitCode.UNREACHABLE, f"no answer: {error}")
