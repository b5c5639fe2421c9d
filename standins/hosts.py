"""Stand in for the platform's lagging list of hosts.

PUT  /hosts/{host}               JSON HostBody: a host tells of itself, again and again
GET  /hosts                      {"hosts": [{"host", "peer_url", "leaving"}]}, as the
                                 list was some time ago
POST /control                    JSON HostsControl: the lag, and how long a silent
                                 host stays listed
"""

import time
from collections import deque
from dataclasses import dataclass, field

from aiohttp import web
from pydantic import BaseModel, Field, ValidationError

from standins.common import add_control

STATUS_BAD_REQUEST = 400


class HostsControl(BaseModel):
    """Order the list's lag."""

    lag_s: float = Field(default=1.0, ge=0)
    silent_s: float = Field(default=10.0, gt=0)


class HostBody(BaseModel):
    """Check what a host says of itself."""

    peer_url: str = Field(max_length=300)
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Hold what a host said and when."""

    host: str
    body: HostBody
    at: float


@dataclass(kw_only=True, slots=True)
class HostsStandin:
    """Serve the list from memory, late."""

    control: HostsControl = field(default_factory=HostsControl)
    _coming: deque[Report] = field(default_factory=deque)
    _listed: dict[str, Report] = field(default_factory=dict)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_put("/hosts/{host}", self._take_report)
        app.router.add_get("/hosts", self._answer_list)
        add_control(app, HostsControl, self._set_control)
        return app

    def _set_control(self, control: HostsControl) -> None:
        self.control = control

    async def _take_report(self, request: web.Request) -> web.Response:
        try:
            body = HostBody.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=STATUS_BAD_REQUEST, text=str(error))
        host = request.match_info["host"]
        self._coming.append(Report(host=host, body=body, at=time.monotonic()))
        return web.json_response({"ok": True})

    async def _answer_list(self, request: web.Request) -> web.Response:
        shown_at = time.monotonic() - self.control.lag_s
        while self._coming and self._coming[0].at <= shown_at:
            report = self._coming.popleft()
            self._listed[report.host] = report
        hosts = [
            {"host": report.host, **report.body.model_dump()}
            for report in self._listed.values()
            if shown_at - report.at < self.control.silent_s
        ]
        return web.json_response({"hosts": hosts})
