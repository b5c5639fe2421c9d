"""Send requests to hosts as a caller."""

import asyncio
import json
import os
import sys
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from pydantic import BaseModel

from trefoilstage.cli.caller import (
    HTTP_OK,
    BrokenAnswerError,
    CallerClient,
    RefusalBody,
    RefusedError,
    parse_refusal,
    read_chunks,
)
from trefoilstage.cli.common import JsonOption, exit_with, fail
from trefoilstage.cli.key import read_key
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.targets.models import Usage
from trefoilstage.const import HEADER_DEADLINE_MS, HEADER_PRIORITY
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.helpers.verdict import Effect

URL_VARIABLE = "TREFOILSTAGE_URL"
KEY_VARIABLE = "TREFOILSTAGE_KEY"

UrlOption = Annotated[
    str,
    cappa.Arg(
        long="--url",
        default=cappa.Env(URL_VARIABLE),
        help="caller URLs of hosts, comma separated, such as http://10.29.1.10:7000",
    ),
]
KeyFileOption = Annotated[
    Path | None,
    cappa.Arg(
        long="--key-file",
        help=f"file with the workspace's bearer key; default: ${KEY_VARIABLE}",
    ),
]
IdempotencyKeyOption = Annotated[
    str | None,
    cappa.Arg(long="--idempotency-key", help="repeat an earlier request with its key"),
]

SEND_EXAMPLES = """Examples:

    trefoilstage request send "Which line holds in force six?" --key-file school.key

    trefoilstage request send --model assistant --max-tokens 200 < dossier.txt
"""
CALL_EXAMPLES = """Example:

    trefoilstage request call booking confirm '{"strip": 7}' --key-file school.key
"""


class RequestResult(BaseModel):
    """Describe the result of a request."""

    idempotency_key: str
    request: str = ""
    complete: bool = False
    text: str = ""
    usage: Usage | None = None
    refusal: RefusalBody | None = None


@cappa.command(name="send", epilog=SEND_EXAMPLES)
@dataclass(kw_only=True)
class SendCommand:
    """Send a chat request and print its answer as it arrives."""

    url: UrlOption
    text: Annotated[
        str | None, cappa.Arg(help="the message; default: standard input")
    ] = None
    key_file: KeyFileOption = None
    idempotency_key: IdempotencyKeyOption = None
    model: Annotated[str, cappa.Arg(long=True)] = "assistant"
    max_tokens: Annotated[int, cappa.Arg(long="--max-tokens")] = 256
    priority: Annotated[int | None, cappa.Arg(long=True)] = None
    deadline_ms: Annotated[int | None, cappa.Arg(long="--deadline-ms")] = None
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the request."""
        result = RequestResult(idempotency_key=self.idempotency_key or uuid.uuid4().hex)
        client = make_caller_client(self.url, self.key_file, result.idempotency_key)
        run_and_report(self._send(client, result), result, as_json=self.json)

    async def _send(self, client: CallerClient, result: RequestResult) -> None:
        text = self.text if self.text is not None else sys.stdin.read()
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        headers = {}
        if self.priority is not None:
            headers[HEADER_PRIORITY] = str(self.priority)
        if self.deadline_ms is not None:
            headers[HEADER_DEADLINE_MS] = str(self.deadline_ms)
        data = json.dumps(body).encode()
        path = "/v1/chat/completions"
        async with client.send_request("POST", path, data, headers) as response:
            async for chunk in read_chunks(response):
                result.request = chunk.request
                result.text += chunk.text
                result.usage = chunk.usage or result.usage
                if not self.json:
                    print(chunk.text, end="", flush=True)
        result.complete = True


@cappa.command(name="call", epilog=CALL_EXAMPLES)
@dataclass(kw_only=True)
class CallCommand:
    """Call an operation of a plain service and print its answer."""

    service: Annotated[str, cappa.Arg(help="the service's name")]
    operation: Annotated[str, cappa.Arg(help="the operation's name")]
    url: UrlOption
    body: Annotated[str, cappa.Arg(help="the request body, usually JSON")] = ""
    key_file: KeyFileOption = None
    idempotency_key: IdempotencyKeyOption = None
    method: Annotated[str, cappa.Arg(long=True)] = "POST"
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the call."""
        result = RequestResult(idempotency_key=self.idempotency_key or uuid.uuid4().hex)
        client = make_caller_client(self.url, self.key_file, result.idempotency_key)
        run_and_report(self._send(client, result), result, as_json=self.json)

    async def _send(self, client: CallerClient, result: RequestResult) -> None:
        path = f"/services/{self.service}/{self.operation}"
        async with client.send_request(
            self.method, path, self.body.encode(), {}
        ) as response:
            data = await response.read()
            if response.status != HTTP_OK:
                raise parse_refusal(data, response.status)
        result.text = data.decode(errors="replace")
        result.complete = True
        if not self.json:
            print(result.text, end="")


@cappa.command(name="request")
@dataclass(kw_only=True)
class RequestCommand:
    """Send requests to hosts as a caller."""

    command: cappa.Subcommands[SendCommand | CallCommand]


def make_caller_client(
    urls: str, key_file: Path | None, idempotency_key: str
) -> CallerClient:
    """Return a client with the bearer key from a file or the environment."""
    secret = os.environ.get(KEY_VARIABLE, "")
    if key_file is not None:
        secret = read_key(key_file)
    if not secret:
        fail(ExitCode.USAGE, f"no bearer key: use --key-file or set ${KEY_VARIABLE}")
    return CallerClient(
        urls=[url.strip() for url in urls.split(",")],
        secret=secret,
        idempotency_key=idempotency_key,
    )


def run_and_report(
    request: Coroutine[None, None, None],
    result: RequestResult,
    *,
    as_json: bool,
) -> None:
    """Run a request, print its result and exit with a code unless it succeeded."""
    failure: TrefoilstageError | None = None
    try:
        asyncio.run(request)
    except (RefusedError, BrokenAnswerError) as error:
        failure = error
        result.refusal = error.refusal if isinstance(error, RefusedError) else None
    if as_json:
        print(result.model_dump_json(indent=2))
    else:
        print(flush=True)
        print_error(describe_result(result, failure))
    if failure is None:
        return
    not_run = result.refusal is not None and result.refusal.effect == Effect.NOT_RUN
    exit_with(ExitCode.REJECTED if not_run else ExitCode.UNKNOWN)


def describe_result(result: RequestResult, failure: TrefoilstageError | None) -> str:
    """Return one line that describes the result of a request."""
    if failure is None:
        usage = f", {result.usage.total} tokens" if result.usage else ""
        return f"complete{usage}, idempotency key {result.idempotency_key}"
    retry = f"; repeat it with --idempotency-key {result.idempotency_key}"
    if result.refusal is None:
        return f"incomplete: {failure}{retry}"
    delay_s = result.refusal.retry_after_s
    after = f" after {delay_s:g} s" if delay_s is not None else ""
    return f"refused ({result.refusal.effect}), {failure}{retry}{after}"
