"""Read the platform's log as records."""

import asyncio
import json
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import cappa

from trefoilstage.cli.output import print_error
from trefoilstage.components.log_client.client import LogClient, LogRecord
from trefoilstage.configuration.records import CONFIG_CODEC, ConfigEnvelope
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.exceptions import MalformedMessageError, RecordsExpiredError
from trefoilstage.helpers.dump import dump_value
from trefoilstage.helpers.events import format_value
from trefoilstage.ledger.records import LEDGER_CODEC, LedgerEnvelope

ENVIRONMENT_LOG = "TREFOILSTAGE_LOG"
TIMEOUT_S = 5.0
FOLLOW_WAIT_S = 2.0

TAIL_EXAMPLES = """Examples:

    trefoilstage log tail config

    trefoilstage log tail ledger-0 --start 1200 --follow
"""


@cappa.command(name="tail", epilog=TAIL_EXAMPLES)
@dataclass(kw_only=True)
class LogTailCommand:
    """Print a stream's records from the platform's log, one a line."""

    stream: Annotated[str, cappa.Arg(help="config, or ledger-0 and so on")]
    log: Annotated[
        str,
        cappa.Arg(
            long="--log", default=cappa.Env(ENVIRONMENT_LOG), help="the log's URL"
        ),
    ]
    start: Annotated[int, cappa.Arg(long=True, help="the first offset")] = 0
    follow: Annotated[bool, cappa.Arg(long=True, help="wait for more")] = False
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON, one a line")] = False

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
                        self.stream, offset, wait_s=wait_s, timeout_s=TIMEOUT_S
                    )
                except RecordsExpiredError as error:
                    print_error(f"records before {error.earliest} have expired")
                    offset = error.earliest
                    continue
                for record in page.records:
                    print(format_record(self.stream, record, as_json=self.json))
                    offset = record.offset + 1
                if not self.follow and offset >= page.next_offset:
                    return


@cappa.command(name="log")
@dataclass(kw_only=True)
class LogCommand:
    """Read the platform's log."""

    command: cappa.Subcommands[LogTailCommand]


def decode_record(stream: str, data: bytes) -> ConfigEnvelope | LedgerEnvelope:
    """Return the envelope in a record of a stream."""
    if stream == CONFIG_STREAM:
        return CONFIG_CODEC.decode(data)
    return LEDGER_CODEC.decode(data)


def format_record(stream: str, record: LogRecord, *, as_json: bool) -> str:
    """Return a record as one line; keys and bodies are left out."""
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
