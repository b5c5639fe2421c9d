"""Test the lengths of frames, wherever the network splits them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from websockets.frames import Frame, Opcode

from trefoilstage.components.connections.frame_lengths import FrameLengths

HANDSHAKE = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LENGTHS = (0, 1, 125, 126, 65_535, 65_536)


class FrameLengthsTest(unittest.TestCase):
    """Follow frames as a client sends them."""

    @given(st.lists(st.sampled_from(LENGTHS), max_size=3), st.data())
    def test_lengths_are_the_same_however_frames_arrive(
        self, lengths: list[int], data: st.DataObject
    ) -> None:
        """Guard against a long message that is not counted, or for too long."""
        sent = [
            Frame(Opcode.BINARY, bytes(length)).serialize(mask=True)
            for length in lengths
        ]
        frames = FrameLengths()
        frames.add(HANDSHAKE[:9])
        frames.add(HANDSHAKE[9:])
        for length, frame in zip(lengths, sent, strict=True):
            cut = data.draw(st.integers(0, len(frame)))
            frames.add(frame[:cut])
            if len(frame) - length <= cut < len(frame):
                self.assertEqual(frames.frame_bytes, length)
            frames.add(frame[cut:])
            self.assertEqual(frames.frame_bytes, 0)
