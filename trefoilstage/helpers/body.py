"""Read the bodies of HTTP answers, up to a limit."""

import aiohttp


class BodyTooLongError(aiohttp.ClientPayloadError):
    """Report a body that is longer than its reader allows."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer, at most `max_bytes` long.

    Raises BodyTooLongError if there is more, and closes the connection.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLongError(f"more than {max_bytes} bytes")
    return bytes(body)
