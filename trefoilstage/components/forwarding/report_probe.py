"""Read from targets when they started."""

import aiohttp
from yarl import URL

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.sender import CONNECTION_ERRORS, SKIPPED_HEADERS
from trefoilstage.components.forwarding.translator import RequestTranslator
from trefoilstage.helpers.events import Event, log_event

HTTP_OK = 200


class ReportProbe:
    """Ask targets for their report, over the connections that requests use."""

    def __init__(
        self, *, session: aiohttp.ClientSession, translator: RequestTranslator
    ) -> None:
        self._session = session
        self._translator = translator

    async def read_start(self, target: TargetEntry) -> int | None:
        """Return a target's start in Unix ms, None if it doesn't say."""
        path = self._translator.report_path
        try:
            async with self._session.get(
                URL(f"http://{target.address}{path}", encoded=True),
                skip_auto_headers=SKIPPED_HEADERS,
                allow_redirects=False,
            ) as response:
                data = await response.read()
        except CONNECTION_ERRORS as error:
            log_event(
                Event.REPORT_FAILED,
                target=target.incarnation,
                error=type(error).__name__,
            )
            return None
        if response.status != HTTP_OK:
            return None
        return self._translator.read_report(data)
