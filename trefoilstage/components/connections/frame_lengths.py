"""Read the lengths of a peer's WebSocket frames, without their bytes; pure."""

HEAD_END = b"\r\n\r\n"
MASK_BYTES = 4
SHORT_HEAD_BYTES = 2
LENGTH_MASK = 0x7F
# Values of a short length that announce a longer one, and the bytes of that.
LONG_LENGTH_BYTES = {126: 2, 127: 8}


class FrameLengths:
    """Know how long the frame is whose bytes arrive."""

    def __init__(self) -> None:
        self._tail = bytearray()  # of the handshake, or the beginning of a frame
        self._is_open = False  # after the handshake
        self._n_left_bytes = 0  # of the current frame
        self.frame_bytes = 0  # of the current frame, 0 between frames

    def add(self, data: bytes) -> None:
        """Follow the frames in the next bytes."""
        start = 0 if self._is_open else self._skip_handshake(data)
        while start < len(data):
            if not self._n_left_bytes:
                start = self._read_head(data, start)
            n_bytes = min(self._n_left_bytes, len(data) - start)
            self._n_left_bytes -= n_bytes
            start += n_bytes
            if not self._n_left_bytes:
                self.frame_bytes = 0

    def _skip_handshake(self, data: bytes) -> int:
        self._tail += data
        end = self._tail.find(HEAD_END)
        if end < 0:
            del self._tail[: -len(HEAD_END)]
            return len(data)
        n_after = len(self._tail) - end - len(HEAD_END)
        self._tail.clear()
        self._is_open = True
        return len(data) - n_after

    def _read_head(self, data: bytes, start: int) -> int:
        """Read the head of a frame; return where its payload begins."""
        while start < len(data):
            self._tail.append(data[start])
            start += 1
            length = self._get_payload_bytes()
            if length is not None:
                self._n_left_bytes = self.frame_bytes = length
                self._tail.clear()
                break
        return start

    def _get_payload_bytes(self) -> int | None:
        """Return the length in the head, None if the head is incomplete."""
        if len(self._tail) < SHORT_HEAD_BYTES:
            return None
        short_length = self._tail[1] & LENGTH_MASK
        n_more = LONG_LENGTH_BYTES.get(short_length, 0)
        if len(self._tail) < SHORT_HEAD_BYTES + n_more + MASK_BYTES:
            return None
        if not n_more:
            return short_length
        return int.from_bytes(self._tail[SHORT_HEAD_BYTES : SHORT_HEAD_BYTES + n_more])
