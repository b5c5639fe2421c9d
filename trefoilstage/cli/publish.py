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
    derive_file_operation,
    fail,
    get_author,
    get_or_create_operation,
    make_client,
    report_verdict,
)
from trefoilstage.cli.files import (
    describe_current_file,
    format_diff,
    get_files_in_force,
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
from trefoilstage.configuration.fold import NEW_FILE_REVISION, HistoryEntry
from trefoilstage.exceptions import NotReadyError
from trefoilstage.helpers.verdict import Reason

HOSTS_ADAPTER = TypeAdapter(list[HostAnswer])
STATUS_ADAPTER = TypeAdapter(StatusAnswer)
HISTORY_ADAPTER = TypeAdapter(list[HistoryEntry])
WAIT_ALL_TIMEOUT_S = 30.0
WAIT_POLL_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 2.0

BaseOption = Annotated[
    int | None,
    cappa.Arg(
        long="--base",
        help="the revision shown by `config show` when you began to edit",
    ),
]

ReplaceOption = Annotated[
    bool,
    cappa.Arg(long="--replace", help="replace a file whatever its current content"),
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
    """Publish and remove files for one command, checking the base revision of each."""

    client: OperatorClient
    operation: str
    base: int | None = None
    replace: bool = False
    as_json: bool = False

    def publish(self, name: str, content: str) -> int:
        """Publish a file and return its revision; exit if it is rejected."""
        operation = derive_file_operation(self.operation, name)
        answer = self._find_verdict(operation)
        if answer is None:
            answer = self._send_publish(operation, name, content)
        return self._report(answer, name, content)

    def remove(self, name: str) -> int:
        """Remove a file and return the revision; exit if it is rejected."""
        operation = derive_file_operation(self.operation, name)
        answer = self._find_verdict(operation)
        if answer is None:
            body = RemoveBody(
                operation=operation,
                name=name,
                base_revision=self._choose_base_revision(
                    self._get_current_file(name), name
                ),
                author=get_author(),
            )
            answer = self.client.submit_change("/config/remove", body)
        return self._report(answer, name, "")

    def _send_publish(self, operation: str, name: str, content: str) -> VerdictAnswer:
        current = self._get_current_file(name)
        if current is not None and current.content == content:
            return VerdictAnswer(
                accepted=True,
                detail="unchanged",
                revision=current.revision,
                operation=operation,
            )
        body = PublishBody(
            operation=operation,
            name=name,
            content=content,
            base_revision=self._choose_base_revision(current, name, content),
            author=get_author(),
        )
        return self.client.submit_change("/config/publish", body)

    def _get_current_file(self, name: str) -> FileAnswer | None:
        return get_files_in_force(self.client).get(name)

    def _choose_base_revision(
        self, current: FileAnswer | None, name: str, content: str = ""
    ) -> int:
        # Without --base, the revision that the author edited is unknown, and a change
        # that another operator has made since would be overwritten without notice.
        if current is None:
            return NEW_FILE_REVISION
        is_seen = self.base is not None and current.revision <= self.base
        if not is_seen and not self.replace:
            self._exit_on_unseen_revision(current, name, content)
        return current.revision

    def _exit_on_unseen_revision(
        self, current: FileAnswer, name: str, content: str
    ) -> NoReturn:
        print_error(format_diff(current, name, content))
        problem = describe_current_file(current, name)
        if self.base is None:
            advice = f"give --base {current.revision} if you have seen it"
            fail(ExitCode.USAGE, f"{problem}; {advice}, or --replace")
        fail(ExitCode.REJECTED, f"{name}: conflict: {problem}, base {self.base}")

    def _find_verdict(self, operation: str) -> VerdictAnswer | None:
        for entry in self.client.get("/config/history", HISTORY_ADAPTER):
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

    def _report(self, answer: VerdictAnswer, name: str, content: str) -> int:
        if not answer.accepted and answer.reason == Reason.CONFLICT:
            current = self._get_current_file(name)
            print_error(describe_current_file(current, name))
            print_error(format_diff(current, name, content))
        report_verdict(answer, subject=name, as_json=self.as_json)
        return answer.revision


@cappa.command(name="publish", epilog=PUBLISH_EXAMPLES)
@dataclass(kw_only=True)
class PublishCommand:
    """Publish files or folders and wait for the verdict on each file."""

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
        publisher = make_publisher(
            host=self.host,
            operation=self.operation,
            base=self.base,
            replace=self.replace,
            as_json=self.json,
        )
        revision = max(publisher.publish(name, text) for name, text in files.items())
        if self.wait_all:
            wait_for_all_hosts(publisher.client, revision)


@cappa.command(name="remove", epilog=REMOVE_EXAMPLES)
@dataclass(kw_only=True)
class RemoveCommand:
    """Remove a file and wait for the verdict."""

    name: Annotated[str, cappa.Arg(help="the file's name")]
    host: HostOption
    json: JsonOption = False
    base: BaseOption = None
    wait_all: WaitAllOption = False
    operation: OperationOption = None

    def __call__(self) -> None:
        """Remove the file."""
        publisher = make_publisher(
            host=self.host,
            operation=self.operation,
            base=self.base,
            replace=self.base is None,
            as_json=self.json,
        )
        revision = publisher.remove(self.name)
        if self.wait_all:
            wait_for_all_hosts(publisher.client, revision)


def make_publisher(
    *, host: str, operation: str | None, base: int | None, replace: bool, as_json: bool
) -> Publisher:
    """Return a publisher for the options of one command."""
    return Publisher(
        client=make_client(host),
        operation=get_or_create_operation(operation),
        base=base,
        replace=replace,
        as_json=as_json,
    )


def wait_for_all_hosts(client: OperatorClient, revision: int) -> None:
    """Wait until a revision is in force on every live host; exit on a timeout."""
    deadline = time.monotonic() + WAIT_ALL_TIMEOUT_S
    hosts_behind: list[str] = []
    while time.monotonic() < deadline:
        hosts = [host for host in client.get("/hosts", HOSTS_ADAPTER) if host.live]
        hosts_behind = [
            host.host for host in hosts if not has_revision_in_force(host, revision)
        ]
        if not hosts_behind:
            print_error(f"in force on {len(hosts)} hosts")
            return
        time.sleep(WAIT_POLL_INTERVAL_S)
    names = ", ".join(hosts_behind)
    fail(ExitCode.UNKNOWN, f"accepted, but not confirmed in force on: {names}")


def has_revision_in_force(host: HostAnswer, revision: int) -> bool:
    """Return whether a host reports a revision, or a later one, as in force."""
    client = OperatorClient(urls=[host.operator_url], timeout_s=STATUS_TIMEOUT_S)
    try:
        status = client.get("/status", STATUS_ADAPTER)
    except (NotReadyError, OperatorError):
        return False
    return status.revision >= revision
