"""Call a host's operators' interface."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
from pydantic import BaseModel, TypeAdapter, ValidationError

from trefoilstage.components.operators.models import VerdictAnswer
from trefoilstage.exceptions import NotReadyError

CALL_TIMEOUT_S = 10.0
HTTP_OK = 200


class OperatorClient:
    """Call one host; each call opens its own session."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")

    def get(self, path: str, adapter: TypeAdapter[Any]) -> Any:
        """Return the checked answer to a GET."""
        try:
            return adapter.validate_json(asyncio.run(self._call("GET", path, None)))
        except ValidationError as error:
            raise NotReadyError(f"{self._url}{path}: unexpected answer") from error

    def post(self, path: str, body: BaseModel | None) -> VerdictAnswer:
        """Return the verdict that a change got."""
        text = body.model_dump_json() if body else "{}"
        answer = asyncio.run(self._call("POST", path, text))
        try:
            return VerdictAnswer.model_validate_json(answer)
        except ValidationError as error:
            raise NotReadyError(f"{self._url}{path}: unexpected answer") from error

    def order(self, path: str) -> None:
        """Send an order that has no verdict."""
        asyncio.run(self._call("POST", path, "{}"))

    async def _call(self, method: str, path: str, body: str | None) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        headers: Mapping[str, str] = {"Content-Type": "application/json"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, f"{self._url}{path}", data=body, headers=headers
                ) as response,
            ):
                return await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NotReadyError(f"{self._url}: {error!r}") from error
