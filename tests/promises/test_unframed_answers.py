"""Test answers that only the end of their connection ends, on real hosts."""

import unittest

from tests.promises.fleet import PlatformFleet

EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))


class UnframedStreamTest(unittest.IsolatedAsyncioTestCase):
    """Let targets send streams without chunks, and close the connection."""

    async def test_whole_stream_is_passed_on(self) -> None:
        """Guard against taking the end of a connection for a broken stream."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.is_unframed = True
            answer = await fleet.call("/stream/x")
            self.assertEqual((answer.status, answer.body), (200, EVENTS))
            self.assertTrue(answer.is_whole)

    async def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        """Guard against a stream cut inside an event that looks complete."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.is_unframed = True
                target.break_after = 2
            answer = await fleet.call("/stream-again/x")
            self.assertEqual((answer.status, answer.body), (200, EVENTS))
            self.assertTrue(answer.is_whole)

    async def test_stream_that_may_not_be_resumed_is_broken_off(self) -> None:
        """Guard against the whole events of a cut stream ended as complete."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.is_unframed = True
                target.break_after = 2
            answer = await fleet.call("/stream/x")
            self.assertFalse(answer.is_whole)
            self.assertNotIn(b"id: 9", answer.body)

    async def test_stream_without_an_event_is_not_whole(self) -> None:
        """Guard against a crash before the first event that looks like an answer."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.is_unframed = True
                target.break_after = 0
            for path in ("/stream/x", "/stream-again/x"):
                answer = await fleet.call(path)
                self.assertEqual(answer.status, 502)
                self.assertNotIn("Response-Seal", answer.headers)


if __name__ == "__main__":
    unittest.main()
