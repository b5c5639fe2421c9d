"""Stand-in for the platform's host list, which lags.

PUT  /hosts/{host}               JSON HostBody: a host's periodic report of itself
GET  /hosts                      {"hosts": [{"host", "peer_url", "leaving"}]}, as the
                                 list was `lag_s` ago
POST /control                    JSON HostsControl: the lag, and how long a host
                                 that sends no reports stays listed
"""

import time
from collections import deque
from dataclasses import dataclass, field

from aiohttp import web
from pydantic import BaseModel, Field, ValidationError

from standins.common import add_control

STATUS_BAD_REQUEST = 400


class HostsControl(BaseModel):
    """Set the list's lag and how long a host without reports stays listed."""

    lag_s: float = Field(default=1.0, ge=0)
    silent_s: float = Field(default=10.0, gt=0)


class HostBody(BaseModel):
    """Validate the body of a host's report of itself."""

    peer_url: str = Field(max_length=300)
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """Describe one report of a host and when it was received."""

    host: str
    body: HostBody
    at: float


@dataclass(kw_only=True, slots=True)
class HostsStandin:
    """Serve the host list from memory with a delay."""

    control: HostsControl = field(default_factory=HostsControl)
    _pending: deque[HostReport] = field(default_factory=deque)
    _listed: dict[str, HostReport] = field(default_factory=dict)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_put("/hosts/{host}", self._receive_report)
        app.router.add_get("/hosts", self._answer_list)
        add_control(app, HostsControl, self._set_control)
        return app

    def _set_control(self, control: HostsControl) -> None:
        self.control = control

    async def _receive_report(self, request: web.Request) -> web.Response:
        try:
            body = HostBody.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=STATUS_BAD_REQUEST, text=str(error))
        host = request.match_info["host"]
        self._pending.append(HostReport(host=host, body=body, at=time.monotonic()))
        return web.json_response({"ok": True})

    async def _answer_list(self, request: web.Request) -> web.Response:
        listed_until = time.monotonic() - self.control.lag_s
        while self._pending and self._pending[0].at <= listed_until:
            report = self._pending.popleft()
            self._listed[report.host] = report
        hosts = [
            {"host": report.host, **report.body.model_dump()}
            for report in self._listed.values()
            if listed_until - report.at < self.control.silent_s
        ]
        return web.json_response({"hosts": hosts})
