"""Share options and exits among the commands."""

import os
import sys
import uuid
from typing import Annotated, NoReturn

import cappa

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.operators.models import VerdictAnswer
from trefoilstage.util.hashing import hash_request_key

ENVIRONMENT_HOST = "TREFOILSTAGE_HOST"
N_DIGEST = 16
MIN_OPERATION = 8
MAX_OPERATION = 40

HostOption = Annotated[
    str,
    cappa.Arg(
        long="--host",
        default=cappa.Env(ENVIRONMENT_HOST),
        help="hosts' operators' URLs, comma separated; the next is tried when one "
        "does not answer",
    ),
]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="print JSON for scripts")]
OperationOption = Annotated[
    str | None,
    cappa.Arg(
        long="--operation",
        help=f"{MIN_OPERATION} to {MAX_OPERATION} characters of your choice that name "
        "this change; repeat it with the same to be safe against a lost answer",
    ),
]
WaitAllOption = Annotated[
    bool,
    cappa.Arg(long="--wait-all", help="wait until it is in force on every live host"),
]


def make_client(hosts: str) -> OperatorClient:
    """Return a client of the hosts in a comma separated list."""
    return OperatorClient(urls=split_urls(hosts))


def split_urls(hosts: str) -> list[str]:
    """Return the addresses in a comma separated list."""
    urls = [url.strip() for url in hosts.split(",") if url.strip()]
    if not urls:
        fail(ExitCode.USAGE, "no host given")
    return urls


def pick_operation(operation: str | None) -> str:
    """Return the operation given, or a new one."""
    if operation is None:
        return uuid.uuid4().hex
    if not MIN_OPERATION <= len(operation) <= MAX_OPERATION:
        fail(ExitCode.USAGE, f"--operation: {MIN_OPERATION} to {MAX_OPERATION} long")
    return operation


def name_part(operation: str, name: str) -> str:
    """Return the operation of one file within a change of several."""
    return f"{operation}/{hash_request_key(operation, name)[:N_DIGEST]}"


def get_author() -> str:
    """Return who is making a change."""
    return os.environ.get("USER", "")


def exit_with(code: ExitCode) -> NoReturn:
    """End the command."""
    sys.exit(int(code))


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print why a command can't go on and end it."""
    print_error(message)
    exit_with(code)


def finish_change(answer: VerdictAnswer, *, what: str, as_json: bool) -> None:
    """Print a verdict and end with its exit code if it is not an acceptance."""
    if as_json:
        print(answer.model_dump_json(indent=2))
    if answer.accepted:
        if not as_json:
            print(f"{what}: accepted")
        return
    if not answer.known or answer.reason == "not_ready":
        detail = answer.detail or "the host is not ready"
        fail(
            ExitCode.UNKNOWN,
            f"{what}: not known yet: {detail}\n"
            f"repeat it with the same --operation ({answer.operation.split('/')[0]})",
        )
    print_error(f"{what}: rejected, {answer.reason}: {answer.detail}")
    exit_with(ExitCode.REJECTED)
