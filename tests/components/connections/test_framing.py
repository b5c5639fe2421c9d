"""Test where requests begin and end, wherever the network splits them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trefoilstage.components.connections.framing import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_TRAILER_BYTES,
    FramingError,
    RequestFramer,
)

CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 22\r\n\r\nGET / HTTP/1.1\r\n\r\nabcd",
    CHUNKED + b"0\r\n\r\n",
    CHUNKED + b"1;x=y\r\na\r\n00A\r\n0\r\n\r\n\r\nGET\r\n0\r\nX: y\r\n\r\n",
]
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
MALFORMED = {
    "two lengths": (POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
    "length and chunks": (
        POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        400,
    ),
    "signed length": (POST + b"Content-Length: +1\r\n\r\n", 400),
    "other coding": (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
    "folded coding": (POST + b"Transfer-Encoding: chunked\r\n , x\r\n\r\n", 400),
    "line feeds alone": (b"GET / HTTP/1.1\nHost: a\n\n", 400),
    "size of a chunk": (CHUNKED + b"-1\r\n", 400),
    "line of a chunk": (CHUNKED + b"1;" + b"x" * MAX_CHUNK_LINE_BYTES, 400),
    "trailers": (CHUNKED + b"0\r\n" + b"x: y\r\n" * MAX_TRAILER_BYTES, 400),
    "blank lines": (b"\r\n" * MAX_HEAD_BYTES, 400),
    "long line": (b"x" * (MAX_HEAD_BYTES + 1), 431),
    "many headers": (POST + b"a:\r\n" * MAX_HEADERS + b"\r\n", 431),
}


def split(framer: RequestFramer, received: list[bytes]) -> list[bytes]:
    """Return the requests in what was received, the last one maybe incomplete."""
    data = bytearray()
    requests = [b""]
    for part in received:
        data += part
        while data:
            framer.skip_blank_lines(data)
            n_bytes = framer.take(data)
            if not n_bytes:
                break
            requests[-1] += data[:n_bytes]
            del data[:n_bytes]
            if framer.is_between_requests:
                requests.append(b"")
    requests[-1] += data
    return requests


class FramingTest(unittest.TestCase):
    """Split what clients send into requests."""

    @given(st.lists(st.sampled_from(REQUESTS), max_size=4), st.data())
    def test_requests_are_the_same_however_they_arrive(
        self, requests: list[bytes], data: st.DataObject
    ) -> None:
        """Guard against a part of one request that is taken for another request."""
        sent = b"\r\n".join(requests)
        cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=9)))
        received = [
            sent[start:end]
            for start, end in zip([0, *cuts], [*cuts, len(sent)], strict=True)
        ]
        self.assertEqual(split(RequestFramer(), received), [*requests, b""])

    def test_request_of_unclear_length_is_refused(self) -> None:
        """Guard against a request that this host and a library would end elsewhere."""
        for kind, (sent, status) in MALFORMED.items():
            for received in ([sent], [sent[i : i + 1] for i in range(len(sent))]):
                with self.subTest(kind, n_parts=len(received)):
                    with self.assertRaises(FramingError) as caught:
                        split(RequestFramer(), received)
                    self.assertEqual(caught.exception.status, status)


if __name__ == "__main__":
    unittest.main()
