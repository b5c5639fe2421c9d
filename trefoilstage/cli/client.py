"""Call the HTTP interface that hosts offer to operators."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
from pydantic import BaseModel, TypeAdapter, ValidationError

from trefoilstage.components.operators.models import (
    DeclareLostAnswer,
    DeclareLostBody,
    DrainAnswer,
    ErrorAnswer,
    VerdictAnswer,
)
from trefoilstage.exceptions import NotReadyError, TrefoilstageError

CALL_TIMEOUT_S = 10.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
AnswerT = TypeVar("AnswerT")


class OperatorError(TrefoilstageError):
    """Report that a host answered a call with an error."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """Describe a host's response by its HTTP status and body."""

    status: int
    body: bytes


class OperatorClient:
    """Call hosts in order until one answers."""

    def __init__(
        self, *, urls: Sequence[str], timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._timeout_s = timeout_s

    def get(self, path: str, adapter: TypeAdapter[AnswerT]) -> AnswerT:
        """Send a GET request and return the validated answer."""
        return self._try_hosts("GET", path, None, adapter.validate_json)

    def submit_change(self, path: str, body: BaseModel) -> VerdictAnswer:
        """Send a change to the hosts in order until one knows the verdict.

        Each host receives the same operation id, so a change that took effect although
        its answer was lost is recognized and not applied twice.
        """
        answer: VerdictAnswer | None = None
        errors: list[str] = []
        for url in self._urls:
            try:
                answer = self._call_host(
                    url,
                    "POST",
                    path,
                    body.model_dump_json(),
                    VerdictAnswer.model_validate_json,
                )
            except NotReadyError as error:
                errors.append(str(error))
                continue
            if answer.known and answer.reason != "not_ready":
                return answer
        if answer is not None:
            return answer
        raise NotReadyError("; ".join(errors))

    def declare_lost(self, body: DeclareLostBody) -> DeclareLostAnswer:
        """Send a declaration of lost hosts to the first host only."""
        return self._call_host(
            self._urls[0],
            "POST",
            "/hosts/declare-lost",
            body.model_dump_json(),
            DeclareLostAnswer.model_validate_json,
        )

    def drain(self) -> DrainAnswer:
        """Send a drain request to the first host only."""
        return self._call_host(
            self._urls[0], "POST", "/drain", "{}", DrainAnswer.model_validate_json
        )

    def _try_hosts(
        self,
        method: str,
        path: str,
        body: str | None,
        parse: Callable[[bytes], AnswerT],
    ) -> AnswerT:
        errors: list[str] = []
        for url in self._urls:
            try:
                return self._call_host(url, method, path, body, parse)
            except NotReadyError as error:
                errors.append(str(error))
        raise NotReadyError("; ".join(errors))

    def _call_host(
        self,
        url: str,
        method: str,
        path: str,
        body: str | None,
        parse: Callable[[bytes], AnswerT],
    ) -> AnswerT:
        answer = asyncio.run(self._call(method, f"{url}{path}", body))
        try:
            return parse(answer.body)
        except ValidationError as error:
            raise parse_error(url, path, answer) from error

    async def _call(self, method: str, url: str, body: str | None) -> HttpAnswer:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s, sock_connect=2.0)
        headers = {"Content-Type": "application/json"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, data=body, headers=headers) as response,
            ):
                return HttpAnswer(status=response.status, body=await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NotReadyError(f"{url}: {type(error).__name__} {error}") from error


def parse_error(url: str, path: str, answer: HttpAnswer) -> TrefoilstageError:
    """Return the error in a host's answer, or NotReadyError if it is malformed."""
    try:
        error: Any = ErrorAnswer.model_validate_json(answer.body)
    except ValidationError:
        return NotReadyError(f"{url}{path}: unexpected answer, status {answer.status}")
    return OperatorError(f"{url}{path}: {error.reason} {error.detail}".rstrip())
