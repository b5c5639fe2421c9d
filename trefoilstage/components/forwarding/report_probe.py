"""Read from targets when they started, and whether they answer at all."""

import asyncio

import aiohttp
from yarl import URL

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.sender import CONNECTION_ERRORS, SKIPPED_HEADERS
from trefoilstage.components.forwarding.translator import RequestTranslator
from trefoilstage.helpers.body import read_body
from trefoilstage.helpers.events import Event, log_event

HTTP_OK = 200
# A sound target may be silent for a second.
ANSWER_TIMEOUT_S = 1.5
MAX_REPORT_BYTES = 256 * 1024


class ReportProbe:
    """Ask targets for their report, over the connections that requests use."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        new_session: aiohttp.ClientSession,
        translator: RequestTranslator,
    ) -> None:
        self._session = session
        self._new_session = new_session  # opens a connection for each request
        self._translator = translator

    async def read_start(self, target: TargetEntry) -> int | None:
        """Return a target's start in Unix ms, None if it doesn't say."""
        report = await self._read_report(self._session, target)
        if report is None or report[0] != HTTP_OK:
            return None
        return self._translator.read_report(report[1])

    async def is_answering(self, target: TargetEntry) -> bool:
        """Return whether the start that an entry names answers a new connection.

        A target that stopped may leave its port open, or be back already.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                report = await self._read_report(self._new_session, target)
        except TimeoutError:
            return False
        if report is None:
            return False
        status, data = report
        if status != HTTP_OK or not target.started_ms:
            return True
        return self._translator.read_report(data) in (None, target.started_ms)

    async def _read_report(
        self, session: aiohttp.ClientSession, target: TargetEntry
    ) -> tuple[int, bytes] | None:
        """Return the status and body of a target's report, None without an answer."""
        path = self._translator.report_path
        try:
            async with session.get(
                URL(f"http://{target.address}{path}", encoded=True),
                skip_auto_headers=SKIPPED_HEADERS,
                allow_redirects=False,
            ) as response:
                return response.status, await read_body(response, MAX_REPORT_BYTES)
        except CONNECTION_ERRORS as error:
            log_event(
                Event.REPORT_FAILED,
                target=target.incarnation,
                error=type(error).__name__,
            )
            return None
