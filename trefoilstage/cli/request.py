"""Send requests as a caller would."""

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
    read_pieces,
    read_refusal,
)
from trefoilstage.cli.common import JsonOption, exit_with, fail
from trefoilstage.cli.key import read_key
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.components.targets.models import Usage
from trefoilstage.const import HEADER_DEADLINE_MS, HEADER_PRIORITY
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.helpers.verdict import Effect

ENVIRONMENT_URL = "TREFOILSTAGE_URL"
ENVIRONMENT_KEY = "TREFOILSTAGE_KEY"

UrlOption = Annotated[
    str,
    cappa.Arg(
        long="--url",
        default=cappa.Env(ENVIRONMENT_URL),
        help="hosts' callers' URLs, comma separated, such as http://10.29.1.10:7000",
    ),
]
KeyFileOption = Annotated[
    Path | None,
    cappa.Arg(
        long="--key-file",
        help=f"the file of the workspace's bearer key; else ${ENVIRONMENT_KEY}",
    ),
]
IdempotencyOption = Annotated[
    str | None,
    cappa.Arg(long="--idempotency-key", help="repeat an earlier request under its key"),
]

SEND_EXAMPLES = """Examples:

    trefoilstage request send "Which line holds in force six?" --key-file school.key

    trefoilstage request send --model assistant --max-tokens 200 < dossier.txt
"""
CALL_EXAMPLES = """Example:

    trefoilstage request call booking confirm '{"strip": 7}' --key-file school.key
"""


class SentRequest(BaseModel):
    """Tell what became of a request."""

    idempotency_key: str
    request: str = ""
    complete: bool = False
    text: str = ""
    usage: Usage | None = None
    refusal: RefusalBody | None = None


@cappa.command(name="send", epilog=SEND_EXAMPLES)
@dataclass(kw_only=True)
class SendCommand:
    """Send a chat request and print its answer as it comes."""

    url: UrlOption
    text: Annotated[str | None, cappa.Arg(help="the message; else standard input")] = (
        None
    )
    key_file: KeyFileOption = None
    idempotency_key: IdempotencyOption = None
    model: Annotated[str, cappa.Arg(long=True)] = "assistant"
    max_tokens: Annotated[int, cappa.Arg(long="--max-tokens")] = 256
    priority: Annotated[int | None, cappa.Arg(long=True)] = None
    deadline_ms: Annotated[int | None, cappa.Arg(long="--deadline-ms")] = None
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the request."""
        sent = SentRequest(idempotency_key=self.idempotency_key or uuid.uuid4().hex)
        client = make_caller(self.url, self.key_file, sent.idempotency_key)
        run_and_report(self._send(client, sent), sent, as_json=self.json)

    async def _send(self, client: CallerClient, sent: SentRequest) -> None:
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
        async with client.open("POST", path, data, headers) as response:
            async for piece in read_pieces(response):
                sent.request = piece.request
                sent.text += piece.text
                sent.usage = piece.usage or sent.usage
                if not self.json:
                    print(piece.text, end="", flush=True)
        sent.complete = True


@cappa.command(name="call", epilog=CALL_EXAMPLES)
@dataclass(kw_only=True)
class CallCommand:
    """Call an operation of a plain service and print its answer."""

    service: Annotated[str, cappa.Arg(help="the service's name")]
    operation: Annotated[str, cappa.Arg(help="the operation's name")]
    url: UrlOption
    body: Annotated[str, cappa.Arg(help="the body, usually JSON")] = ""
    key_file: KeyFileOption = None
    idempotency_key: IdempotencyOption = None
    method: Annotated[str, cappa.Arg(long=True)] = "POST"
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the call."""
        sent = SentRequest(idempotency_key=self.idempotency_key or uuid.uuid4().hex)
        client = make_caller(self.url, self.key_file, sent.idempotency_key)
        run_and_report(self._send(client, sent), sent, as_json=self.json)

    async def _send(self, client: CallerClient, sent: SentRequest) -> None:
        path = f"/services/{self.service}/{self.operation}"
        async with client.open(self.method, path, self.body.encode(), {}) as response:
            data = await response.read()
            if response.status != HTTP_OK:
                raise read_refusal(data, response.status)
        sent.text = data.decode(errors="replace")
        sent.complete = True
        if not self.json:
            print(sent.text, end="")


@cappa.command(name="request")
@dataclass(kw_only=True)
class RequestCommand:
    """Send requests as a caller would."""

    command: cappa.Subcommands[SendCommand | CallCommand]


def make_caller(urls: str, key_file: Path | None, key: str) -> CallerClient:
    """Return a caller's client; the bearer key comes from a file or environment."""
    secret = os.environ.get(ENVIRONMENT_KEY, "")
    if key_file is not None:
        secret = read_key(key_file)
    if not secret:
        fail(ExitCode.USAGE, f"no bearer key: give --key-file or ${ENVIRONMENT_KEY}")
    return CallerClient(
        urls=[url.strip() for url in urls.split(",")], secret=secret, key=key
    )


def run_and_report(
    sending: Coroutine[None, None, None],
    sent: SentRequest,
    *,
    as_json: bool,
) -> None:
    """Send a request, tell what became of it and end with its exit code."""
    problem: TrefoilstageError | None = None
    try:
        asyncio.run(sending)
    except (RefusedError, BrokenAnswerError) as error:
        problem = error
        sent.refusal = error.refusal if isinstance(error, RefusedError) else None
    if as_json:
        print(sent.model_dump_json(indent=2))
    else:
        print(flush=True)
        print_error(describe_end(sent, problem))
    if problem is None:
        return
    not_run = sent.refusal is not None and sent.refusal.effect == Effect.NOT_RUN
    exit_with(ExitCode.REJECTED if not_run else ExitCode.UNKNOWN)


def describe_end(sent: SentRequest, problem: TrefoilstageError | None) -> str:
    """Return one line on how a request ended."""
    if problem is None:
        usage = f", {sent.usage.total} tokens" if sent.usage else ""
        return f"complete{usage}, idempotency key {sent.idempotency_key}"
    retry = f"; repeat it with --idempotency-key {sent.idempotency_key}"
    if sent.refusal is None:
        return f"broke off: {problem}{retry}"
    wait = sent.refusal.retry_after_s
    after = f" after {wait:g} s" if wait is not None else ""
    return f"refused ({sent.refusal.effect}), {problem}{retry}{after}"
