"""Define the options and exits that several commands share."""

import os
import sys
import uuid
from typing import Annotated, NoReturn

import cappa

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.operators.models import VerdictAnswer
from trefoilstage.util.hashing import hash_idempotency_key

HOST_VARIABLE = "TREFOILSTAGE_HOST"
OPERATION_DIGEST_LENGTH = 16
MIN_OPERATION_LENGTH = 8
MAX_OPERATION_LENGTH = 40

HostOption = Annotated[
    str,
    cappa.Arg(
        long="--host",
        default=cappa.Env(HOST_VARIABLE),
        help="operator URLs of hosts, comma separated; if one does not answer, the "
        "next is tried",
    ),
]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="print JSON for scripts")]
OperationOption = Annotated[
    str | None,
    cappa.Arg(
        long="--operation",
        help=f"an id of {MIN_OPERATION_LENGTH} to {MAX_OPERATION_LENGTH} characters "
        "for this change; after a lost answer, repeat the command with the same id: "
        "the change is not applied twice",
    ),
]
WaitAllOption = Annotated[
    bool,
    cappa.Arg(
        long="--wait-all", help="wait until the change is in force on every live host"
    ),
]


def make_client(hosts: str) -> OperatorClient:
    """Return a client for the hosts in a comma separated list of URLs."""
    return OperatorClient(urls=split_urls(hosts))


def split_urls(hosts: str) -> list[str]:
    """Return the URLs in a comma separated list; exit if there are none."""
    urls = [url.strip() for url in hosts.split(",") if url.strip()]
    if not urls:
        fail(ExitCode.USAGE, "no host given")
    return urls


def get_or_create_operation(operation: str | None) -> str:
    """Return the given operation id if its length is valid, or a new one."""
    if operation is None:
        return uuid.uuid4().hex
    if not MIN_OPERATION_LENGTH <= len(operation) <= MAX_OPERATION_LENGTH:
        fail(
            ExitCode.USAGE,
            f"--operation: must have {MIN_OPERATION_LENGTH} to "
            f"{MAX_OPERATION_LENGTH} characters",
        )
    return operation


def derive_file_operation(operation: str, name: str) -> str:
    """Return the operation id of one file within a change of several files."""
    return (
        f"{operation}/{hash_idempotency_key(operation, name)[:OPERATION_DIGEST_LENGTH]}"
    )


def get_author() -> str:
    """Return the name of the user who makes a change."""
    return os.environ.get("USER", "")


def exit_with(code: ExitCode) -> NoReturn:
    """End the command with an exit code."""
    sys.exit(int(code))


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print an error and end the command with an exit code."""
    print_error(message)
    exit_with(code)


def report_verdict(answer: VerdictAnswer, *, subject: str, as_json: bool) -> None:
    """Print the verdict on a change and exit unless the change was accepted."""
    if as_json:
        print(answer.model_dump_json(indent=2))
    if answer.accepted:
        if not as_json:
            print(f"{subject}: accepted")
        return
    if not answer.known or answer.reason == "not_ready":
        detail = answer.detail or "the host is not ready"
        fail(
            ExitCode.UNKNOWN,
            f"{subject}: the verdict is not known yet: {detail}\n"
            "repeat the command with the same --operation "
            f"({answer.operation.split('/')[0]})",
        )
    print_error(f"{subject}: rejected, {answer.reason}: {answer.detail}")
    exit_with(ExitCode.REJECTED)
