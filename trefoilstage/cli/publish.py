"""Publish and remove configuration files."""

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient, OperatorError
from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    OperationOption,
    WaitAllOption,
    fail,
    finish_change,
    get_author,
    make_client,
    name_part,
    pick_operation,
)
from trefoilstage.cli.files import (
    describe_difference,
    describe_present,
    get_files,
    read_files,
)
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.operators.models import (
    FileAnswer,
    HostAnswer,
    PublishBody,
    RemoveBody,
    StatusAnswer,
    VerdictAnswer,
)
from trefoilstage.configuration.fold import NEW_FILE, HistoryEntry
from trefoilstage.exceptions import NotReadyError
from trefoilstage.helpers.verdict import Reason

HOSTS = TypeAdapter(list[HostAnswer])
STATUS = TypeAdapter(StatusAnswer)
HISTORY = TypeAdapter(list[HistoryEntry])
WAIT_ALL_S = 30.0
WAIT_POLL_S = 0.1
STATUS_TIMEOUT_S = 2.0

BaseOption = Annotated[
    int | None,
    cappa.Arg(
        long="--base",
        help="the revision that `config show` gave when your edit began",
    ),
]

ReplaceOption = Annotated[
    bool, cappa.Arg(long="--replace", help="replace a file whatever it holds now")
]

PUBLISH_EXAMPLES = """Examples:

    trefoilstage config publish 90-top-up.toml --wait-all

    trefoilstage config publish site/ --base 41

    trefoilstage config publish 20-budgets.toml --operation ticket-4711
"""
REMOVE_EXAMPLES = """Example:

    trefoilstage config remove 90-leave-engine-3.toml --wait-all
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Publisher:
    """Make the changes of one command, each over what its author saw."""

    client: OperatorClient
    operation: str
    base: int | None = None
    replace: bool = False
    as_json: bool = False

    def publish(self, name: str, content: str) -> int:
        """Publish a file and return its revision; end the command if rejected."""
        operation = name_part(self.operation, name)
        answer = self._find_verdict(operation)
        if answer is None:
            answer = self._send_publish(operation, name, content)
        return self._finish(answer, name, content)

    def remove(self, name: str) -> int:
        """Remove a file and return the revision; end the command if rejected."""
        operation = name_part(self.operation, name)
        answer = self._find_verdict(operation)
        if answer is None:
            body = RemoveBody(
                operation=operation,
                name=name,
                base_revision=self._pick_base(self._get_present(name), name),
                author=get_author(),
            )
            answer = self.client.change("/config/remove", body)
        return self._finish(answer, name, "")

    def _send_publish(self, operation: str, name: str, content: str) -> VerdictAnswer:
        present = self._get_present(name)
        if present is not None and present.content == content:
            return VerdictAnswer(
                accepted=True,
                detail="unchanged",
                revision=present.revision,
                operation=operation,
            )
        body = PublishBody(
            operation=operation,
            name=name,
            content=content,
            base_revision=self._pick_base(present, name, content),
            author=get_author(),
        )
        return self.client.change("/config/publish", body)

    def _get_present(self, name: str) -> FileAnswer | None:
        return get_files(self.client).get(name)

    def _pick_base(
        self, present: FileAnswer | None, name: str, content: str = ""
    ) -> int:
        # Without --base nobody knows which text an edit began from, and a file
        # that a colleague changed meanwhile would be overwritten unseen.
        if present is None:
            return NEW_FILE
        seen = self.base is not None and present.revision <= self.base
        if not seen and not self.replace:
            self._refuse_unseen(present, name, content)
        return present.revision

    def _refuse_unseen(self, present: FileAnswer, name: str, content: str) -> NoReturn:
        print_error(describe_difference(present, name, content))
        problem = describe_present(present, name)
        if self.base is None:
            advice = f"give --base {present.revision} if you have seen it"
            fail(ExitCode.USAGE, f"{problem}; {advice}, or --replace")
        fail(ExitCode.REJECTED, f"{name}: conflict: {problem}, base {self.base}")

    def _find_verdict(self, operation: str) -> VerdictAnswer | None:
        for entry in self.client.get("/config/history", HISTORY):
            if entry.operation == operation:
                return VerdictAnswer(
                    accepted=entry.accepted,
                    reason=entry.reason,
                    detail="\n".join([entry.detail, *map(str, entry.findings)]),
                    findings=list(entry.findings),
                    revision=entry.offset if entry.accepted else -1,
                    operation=operation,
                )
        return None

    def _finish(self, answer: VerdictAnswer, name: str, content: str) -> int:
        if not answer.accepted and answer.reason == Reason.CONFLICT:
            present = self._get_present(name)
            print_error(describe_present(present, name))
            print_error(describe_difference(present, name, content))
        finish_change(answer, what=name, as_json=self.as_json)
        return answer.revision


@cappa.command(name="publish", epilog=PUBLISH_EXAMPLES)
@dataclass(kw_only=True)
class PublishCommand:
    """Publish files or folders and wait until each file is accepted or rejected."""

    paths: Annotated[
        list[Path], cappa.Arg(num_args=-1, required=True, help="files or folders")
    ]
    host: HostOption
    json: JsonOption = False
    base: BaseOption = None
    replace: ReplaceOption = False
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Publish the files one by one in the order of their names."""
        files = read_files(self.paths)
        publisher = open_publisher(
            host=self.host,
            operation=self.operation,
            base=self.base,
            replace=self.replace,
            as_json=self.json,
        )
        revision = max(publisher.publish(name, text) for name, text in files.items())
        if self.wait_all:
            wait_for_all(publisher.client, revision)


@cappa.command(name="remove", epilog=REMOVE_EXAMPLES)
@dataclass(kw_only=True)
class RemoveCommand:
    """Remove a file and wait until that is accepted or rejected."""

    name: Annotated[str, cappa.Arg(help="the file's name")]
    host: HostOption
    json: JsonOption = False
    base: BaseOption = None
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Remove the file."""
        publisher = open_publisher(
            host=self.host,
            operation=self.operation,
            base=self.base,
            replace=self.base is None,
            as_json=self.json,
        )
        revision = publisher.remove(self.name)
        if self.wait_all:
            wait_for_all(publisher.client, revision)


def open_publisher(
    *, host: str, operation: str | None, base: int | None, replace: bool, as_json: bool
) -> Publisher:
    """Return a publisher for one command's options."""
    return Publisher(
        client=make_client(host),
        operation=pick_operation(operation),
        base=base,
        replace=replace,
        as_json=as_json,
    )


def wait_for_all(client: OperatorClient, revision: int) -> None:
    """Wait until a revision is in force on every live host."""
    deadline = time.monotonic() + WAIT_ALL_S
    behind: list[str] = []
    while time.monotonic() < deadline:
        hosts = [host for host in client.get("/hosts", HOSTS) if host.live]
        behind = [host.host for host in hosts if not has_revision(host, revision)]
        if not behind:
            print_error(f"in force on {len(hosts)} hosts")
            return
        time.sleep(WAIT_POLL_S)
    names = ", ".join(behind)
    fail(ExitCode.UNKNOWN, f"accepted, but not seen in force on: {names}")


def has_revision(host: HostAnswer, revision: int) -> bool:
    """Tell whether a host says that it has a revision in force."""
    client = OperatorClient(urls=[host.operator_url], timeout_s=STATUS_TIMEOUT_S)
    try:
        status = client.get("/status", STATUS)
    except (NotReadyError, OperatorError):
        return False
    return status.revision >= revision
