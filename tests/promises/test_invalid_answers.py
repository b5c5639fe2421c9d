"""Test answers that no caller may take for one, on real hosts."""

import time
import unittest

from standins.platform_target import EarlyAnswer
from tests.promises.fleet import PlatformFleet

HEAD = b"Attempt-Id: %s\r\nResponse-Seal: s\r\n"
UNDEFINED_STATUSES = (b"000", b"001", b"099", b"101", b"600", b"999")
BODIES = {
    "length": b"Content-Length: 2\r\n\r\nok",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "no length": b"\r\nok",
}
MAX_TOLD_S = 2.0  # the callers' limit is 5 s
LONG_BODY = b"x" * 4_000_000
PART_BYTES = (1, 2_000, 100_000)


class InvalidAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Let all targets answer with what HTTP does not define, or in part."""

    async def test_undefined_status_is_a_failure_at_once(self) -> None:
        """Guard against callers who get status 600, or wait behind status 000."""
        async with PlatformFleet() as fleet:
            for path in ("/book/x", "/look/x", "/stream/x"):
                for status in UNDEFINED_STATUSES:
                    for kind, body in BODIES.items():
                        with self.subTest(path=path, status=status, body=kind):
                            head = b"HTTP/1.1 %b Trouble\r\n" % status + HEAD
                            await self.check_failed(fleet, path, head + body)

    async def check_failed(self, fleet: PlatformFleet, path: str, data: bytes) -> None:
        """Check that a caller is soon told of a failure, and not that nothing ran."""
        for target in fleet.targets:
            target.early = EarlyAnswer(data=data)
        began = time.monotonic()
        answer = await fleet.call(path)
        self.assertEqual(answer.status, 502)
        self.assertNotIn("Response-Seal", answer.headers)
        self.assertLess(time.monotonic() - began, MAX_TOLD_S)

    async def test_part_of_an_answer_to_an_upload_is_not_whole(self) -> None:
        """Guard against a part taken as whole, reset while a body is being sent."""
        async with PlatformFleet() as fleet:
            for n_bytes in PART_BYTES:
                for resets_after_s in (0.0, 0.005, 0.05):
                    for target in fleet.targets:
                        target.early = EarlyAnswer(
                            data=b"HTTP/1.1 200 OK\r\n"
                            + HEAD
                            + b"\r\n"
                            + b"x" * n_bytes,
                            resets_after_s=resets_after_s,
                        )
                    with self.subTest(n_bytes=n_bytes, after_s=resets_after_s):
                        answer = await fleet.call("/book/x", body=LONG_BODY)
                        self.assertEqual(answer.status, 502)
                        self.assertNotIn("Response-Seal", answer.headers)


if __name__ == "__main__":
    unittest.main()
