"""Stand-in for a plain HTTP service that records its effects.

ANY  /{path}                     record one more effect and answer with its number
GET  /meter                      all effects; tests compare against them
POST /control                    JSON ServiceControl: delay, replies lost after the
                                 effect, refusals without effect, size of answers
"""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web
from pydantic import BaseModel, Field

from standins.common import add_control, make_json_response


class ServiceControl(BaseModel):
    """Set the service's delay, faults and answer size."""

    delay_s: float = Field(default=0.0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    refuse_status: int | None = Field(default=None, ge=400, le=599)
    padding_bytes: int = Field(default=0, ge=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Describe one call that took effect."""

    path: str
    workspace: str
    key: str
    body: str


@dataclass(kw_only=True, slots=True)
class ServiceMeter:
    """Record all effects in order, and the number of refused calls."""

    effects: list[Effect] = field(default_factory=list)
    n_refused: int = 0


class ServiceStandin:
    """Serve any path and count each call as an effect."""

    def __init__(self) -> None:
        self.control = ServiceControl()
        self.meter = ServiceMeter()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/meter", self._answer_meter)
        add_control(app, ServiceControl, self._set_control)
        app.router.add_route("*", "/{path:.*}", self._run_effect)
        return app

    def _set_control(self, control: ServiceControl) -> None:
        self.control = control

    async def _answer_meter(self, request: web.Request) -> web.Response:
        return make_json_response(self.meter)

    async def _run_effect(self, request: web.Request) -> web.Response:
        body = (await request.read()).decode(errors="replace")
        if self.control.refuse_status is not None:
            self.meter.n_refused += 1
            return web.json_response(
                {"error": "taken"}, status=self.control.refuse_status
            )
        self.meter.effects.append(
            Effect(
                path=request.path,
                workspace=request.headers.get("X-Workspace", ""),
                key=request.headers.get("Idempotency-Key", ""),
                body=body,
            )
        )
        number = len(self.meter.effects)
        await asyncio.sleep(self.control.delay_s)
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        padding = "." * self.control.padding_bytes
        return web.json_response(
            {"confirmation": number, "path": request.path, "padding": padding}
        )
