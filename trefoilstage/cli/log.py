"""Print records of the platform's log, and log lines about one request."""

import asyncio
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import cappa

from trefoilstage.cli.common import fail
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.log_client.client import LogClient, LogRecord
from trefoilstage.configuration.records import CONFIG_CODEC, ConfigEnvelope
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.exceptions import MalformedMessageError, RecordsExpiredError
from trefoilstage.helpers.dump import dump_value
from trefoilstage.helpers.events import format_value
from trefoilstage.helpers.request_history import (
    LogLine,
    find_request_history,
    parse_log_line,
)
from trefoilstage.ledger.records import LEDGER_CODEC, LedgerEnvelope

LOG_VARIABLE = "TREFOILSTAGE_LOG"
READ_TIMEOUT_S = 5.0
FOLLOW_WAIT_S = 2.0

TAIL_EXAMPLES = """Examples:

    trefoilstage log tail config

    trefoilstage log tail ledger-0 --start 1200 --follow
"""


@cappa.command(name="tail", epilog=TAIL_EXAMPLES)
@dataclass(kw_only=True)
class LogTailCommand:
    """Print the records of a stream of the platform's log, one per line."""

    stream: Annotated[
        str, cappa.Arg(help="the stream's name: config, ledger-0, ledger-1 and so on")
    ]
    log: Annotated[
        str,
        cappa.Arg(long="--log", default=cappa.Env(LOG_VARIABLE), help="the log's URL"),
    ]
    start: Annotated[int, cappa.Arg(long=True, help="offset of the first record")] = 0
    follow: Annotated[bool, cappa.Arg(long=True, help="wait for new records")] = False
    json: Annotated[
        bool, cappa.Arg(long=True, help="print JSON, one object per line")
    ] = False

    def __call__(self) -> None:
        """Print the records."""
        asyncio.run(self._tail())

    async def _tail(self) -> None:
        offset = self.start
        async with aiohttp.ClientSession() as session:
            client = LogClient(session=session, url=self.log)
            wait_s = FOLLOW_WAIT_S if self.follow else 0.0
            while True:
                try:
                    page = await client.read(
                        self.stream, offset, wait_s=wait_s, timeout_s=READ_TIMEOUT_S
                    )
                except RecordsExpiredError as error:
                    print_error(f"records before {error.earliest} have expired")
                    offset = error.earliest
                    continue
                for record in page.records:
                    print(format_record(self.stream, record, as_json=self.json))
                    offset = record.offset + 1
                if not self.follow and offset >= page.end_offset:
                    return


EXPLAIN_EXAMPLES = """Examples:

    trefoilstage log explain 0bda7358b944568f host-*.log

    collect-logs | trefoilstage log explain 0bda7358b944568f
"""


@cappa.command(name="explain", epilog=EXPLAIN_EXAMPLES)
@dataclass(kw_only=True)
class LogExplainCommand:
    """Print what the log lines of all hosts say about a request."""

    request: Annotated[str, cappa.Arg(help="the request's id, as sent by the caller")]
    files: Annotated[
        list[Path],
        cappa.Arg(help="files of log lines; default: standard input"),
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Print the log lines about the request, its hosts and its workspace."""
        history = find_request_history(self._read_lines(), self.request)
        if not history.lines:
            fail(ExitCode.REJECTED, f"no log line contains the request {self.request}")
        for title, lines in (
            ("state of its hosts when it arrived", history.host_states),
            ("draws of its workspace's account", history.account_changes),
            ("the request", history.lines),
        ):
            print(f"{title}:")
            for line in lines:
                print(f"  {line.describe()}")

    def _read_lines(self) -> Iterator[LogLine]:
        if not self.files:
            yield from parse_log_lines(sys.stdin, "-")
        for path in self.files:
            try:
                with path.open(errors="replace") as stream:
                    yield from parse_log_lines(stream, path.stem)
            except OSError as error:
                fail(ExitCode.USAGE, f"{path}: {error.strerror}")


def parse_log_lines(stream: Iterable[str], source: str) -> Iterator[LogLine]:
    """Yield the log lines of hosts in a stream, ignoring other text."""
    for text in stream:
        line = parse_log_line(text, source)
        if line is not None:
            yield line


@cappa.command(name="log")
@dataclass(kw_only=True)
class LogCommand:
    """Read the platform's log and the log lines of hosts."""

    command: cappa.Subcommands[LogTailCommand | LogExplainCommand]


def decode_record(stream: str, data: bytes) -> ConfigEnvelope | LedgerEnvelope:
    """Decode a record of a stream to its envelope."""
    if stream == CONFIG_STREAM:
        return CONFIG_CODEC.decode(data)
    return LEDGER_CODEC.decode(data)


def format_record(stream: str, record: LogRecord, *, as_json: bool) -> str:
    """Return a record as one line, without keys and bodies."""
    try:
        envelope = decode_record(stream, record.data)
    except MalformedMessageError as error:
        fields: dict[str, Any] = {"malformed": str(error)}
        return format_fields(record.offset, fields, as_json=as_json)
    dumped = dump_value(envelope)
    body = dumped.pop("record")
    fields = {"kind": body.pop("kind"), "incarnation": envelope.incarnation}
    fields |= {"sequence": envelope.sequence, **body}
    return format_fields(record.offset, fields, as_json=as_json)


def format_fields(offset: int, fields: dict[str, Any], *, as_json: bool) -> str:
    """Return an offset and fields as key=value pairs or JSON."""
    if as_json:
        return json.dumps({"offset": offset, **fields})
    pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join([str(offset), *pairs])
