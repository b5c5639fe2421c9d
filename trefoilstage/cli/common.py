"""Share options and exits among the commands."""

import os
import sys
import uuid
from typing import Annotated, NoReturn

import cappa

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.operators.models import VerdictAnswer

ENVIRONMENT_HOST = "TREFOILSTAGE_HOST"

HostOption = Annotated[
    str,
    cappa.Arg(
        long="--host",
        default=cappa.Env(ENVIRONMENT_HOST),
        help="a host's operators' URL, such as http://10.0.0.1:7070",
    ),
]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="print JSON for scripts")]


def make_client(host: str) -> OperatorClient:
    """Return a client of a host."""
    return OperatorClient(url=host)


def make_operation() -> str:
    """Return a new operation, under which a change may be sent again."""
    return uuid.uuid4().hex


def get_author() -> str:
    """Return who is making a change."""
    return os.environ.get("USER", "")


def exit_with(code: ExitCode) -> NoReturn:
    """End the command."""
    sys.exit(int(code))


def finish_change(answer: VerdictAnswer, *, as_json: bool) -> None:
    """Print a verdict and end with its exit code if it is not an acceptance."""
    if as_json:
        print(answer.model_dump_json(indent=2))
    if answer.accepted:
        if not as_json:
            print(f"accepted at revision {answer.revision}")
        return
    if not answer.known:
        print_error(f"not known yet: {answer.detail} (operation {answer.operation})")
        exit_with(ExitCode.UNKNOWN)
    print_error(f"rejected, {answer.reason}:\n{answer.detail}")
    exit_with(ExitCode.REJECTED)
