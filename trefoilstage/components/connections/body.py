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
    if length is not None and length <= PART_BYTES:
        return await request.content.read()
    body = PartList()
    async for data in request.content.iter_any():
        body.add(data)
        if body.n_bytes > max_bytes:
            break
        if body.n_bytes > memory.n_bytes:
            memory.resize(body.n_bytes)
    return body.join()
