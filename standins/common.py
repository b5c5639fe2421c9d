"""HTTP helpers shared by the stand-ins."""

import asyncio
import dataclasses
import signal
import socket
import struct
import sys
from collections.abc import Callable
from typing import Any, TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError

ControlT = TypeVar("ControlT", bound=BaseModel)


def reserve_port(port: int) -> socket.socket:
    """Bind a port that refuses connections until its socket is served.

    Otherwise the kernel may give it to a connection of another process.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", port))
    return reserved


def make_json_response(value: Any) -> web.Response:
    """Return a JSON response with a data class's fields."""
    return web.json_response(dataclasses.asdict(value))


def add_control(
    app: web.Application,
    model: type[ControlT],
    apply_control: Callable[[ControlT], None],
) -> None:
    """Add POST /control, by which tests set limits and faults."""

    async def control(request: web.Request) -> web.Response:
        try:
            apply_control(model.model_validate_json(await request.read()))
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response({"ok": True})

    app.router.add_post("/control", control)


async def serve_app(
    app: web.Application, *, name: str, address: str, port: int
) -> None:
    """Serve until SIGTERM or SIGINT; print the bound port to stderr."""
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


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a TCP reset instead of a FIN."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
