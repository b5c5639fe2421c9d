"""Read the bodies of clients' requests within the clients' memory."""

from aiohttp import web

from trefoilstage.components.connections.memory import MemoryPart
from trefoilstage.components.connections.parts import PART_BYTES, PartList


async def read_body(
    request: web.BaseRequest, memory: MemoryPart, max_bytes: int
) -> bytes:
    """Return a request's body; a body above `max_bytes` is returned incomplete.

    Raises MemoryLimitError if it may not be held, before it is read if its length is
    known.
    """
    length = request.content_length
    memory.resize(min(length or 0, max_bytes))
    if length is None or length > max_bytes:
        return await read_parts(request, memory, max_bytes)
    if length <= PART_BYTES:
        return await request.content.read()
    return await read_counted(request, length)


async def read_counted(request: web.BaseRequest, n_bytes: int) -> bytes:
    """Return a long body of known length, of which there are no parts besides."""
    body = bytearray(n_bytes)
    n_read = 0
    async for data in request.content.iter_any():
        body[n_read : n_read + len(data)] = data
        n_read += len(data)
    return bytes(body)


async def read_parts(
    request: web.BaseRequest, memory: MemoryPart, max_bytes: int
) -> bytes:
    """Return a body up to a part that exceeds `max_bytes`."""
    body = PartList()
    async for data in request.content.iter_any():
        body.add(data)
        if body.n_bytes > max_bytes:
            break
        if body.n_bytes > memory.n_bytes:
            memory.resize(body.n_bytes)
    return body.join()
