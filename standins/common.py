"""Share what the stand-ins have in common."""

import asyncio
import dataclasses
import signal
import sys
from collections.abc import Callable
from typing import Any, TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError

ControlT = TypeVar("ControlT", bound=BaseModel)


def answer_json(value: Any) -> web.Response:
    """Return a data class as JSON."""
    return web.json_response(dataclasses.asdict(value))


def add_control(
    app: web.Application, model: type[ControlT], take: Callable[[ControlT], None]
) -> None:
    """Let tests order misbehaviour by POST /control."""

    async def control(request: web.Request) -> web.Response:
        try:
            take(model.model_validate_json(await request.read()))
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response({"ok": True})

    app.router.add_post("/control", control)


async def serve_app(
    app: web.Application, *, name: str, address: str, port: int
) -> None:
    """Serve until a signal comes; print the port that was taken."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    sys.stderr.write(f"standin={name} port={runner.addresses[0][1]}\n")
    sys.stderr.flush()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()
