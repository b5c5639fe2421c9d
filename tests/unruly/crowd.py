"""Play clients that send or keep open more than they should, on raw sockets."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

KIB = 1024
MIB = 1024 * KIB
# Stands for a client's number in what it sends first.
CLIENT = b"unruly-client"
RECEIVE_BUFFER_BYTES = 16 * KIB
# Connections are refused for a moment while the backlog is full.
CONNECT_TIMEOUT_S = 5.0
# A host that takes all that it is sent gets this much from the whole crowd, which is
# more than twice the memory of the machine.
CROWD_BYTES = 400 * MIB
BLOCK_BYTES = 64 * KIB
# A host that reads without a limit gets most of CROWD_BYTES in this time.
PLAY_S = 3.0
ANSWER_TIMEOUT_S = 30.0
RETRY_S = 0.2
SAMPLE_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class Behaviour:
    """Describe what each client sends: first bytes, then a block again and again."""

    n_clients: int
    first: bytes = b""
    repeated: bytes = b""
    n_repeats: int | None = None  # None for as long as the host takes it

    def list_blocks(self) -> list[bytes]:
        """Return the repeated bytes in blocks that are worth a system call."""
        if not self.repeated:
            return []
        if self.n_repeats is not None:
            return [self.repeated] * self.n_repeats
        n_in_block = max(1, BLOCK_BYTES // len(self.repeated))
        block = self.repeated * n_in_block
        return [block] * (CROWD_BYTES // self.n_clients // len(block))


@dataclass(kw_only=True, slots=True)
class Peak:
    """Describe the most that a process held while the crowd played."""

    pid: int
    n_descriptors: int = 0

    async def watch(self) -> None:
        """Sample the descriptors until cancelled; the kernel keeps the peak memory."""
        while True:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                n_open = len(os.listdir(f"/proc/{self.pid}/fd"))
                self.n_descriptors = max(self.n_descriptors, n_open)
            await asyncio.sleep(SAMPLE_S)

    def read_memory_bytes(self) -> int:
        """Return the peak of the process's resident memory."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * KIB


class Crowd:
    """Keep the connections of clients that never read, until the end of a test."""

    def __init__(self, *, address: str, port: int) -> None:
        self._address = (address, port)
        self._sockets: list[socket.socket] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for item in self._sockets:
            item.close()

    async def play(self, behaviour: Behaviour) -> None:
        """Let all clients send what the host takes within PLAY_S."""
        clients = [
            asyncio.create_task(self._play_client(behaviour, number))
            for number in range(behaviour.n_clients)
        ]
        await asyncio.sleep(PLAY_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _play_client(self, behaviour: Behaviour, number: int) -> None:
        loop = asyncio.get_running_loop()
        opened = socket.socket()
        self._sockets.append(opened)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.setblocking(False)
        # A host may close the connection at any time.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(opened, self._address)
            first = behaviour.first.replace(CLIENT, b"unruly-%d" % number)
            await loop.sock_sendall(opened, first)
            for block in behaviour.list_blocks():
                await loop.sock_sendall(opened, block)
                await asyncio.sleep(0)


async def watch_crowd(
    pid: int, crowd: Crowd, behaviour: Behaviour, call: Callable[[], Awaitable[int]]
) -> tuple[Peak, int]:
    """Play a crowd, then call as an ordinary caller; return the peak and the status."""
    peak = Peak(pid=pid)
    watcher = asyncio.create_task(peak.watch())
    try:
        await crowd.play(behaviour)
        return peak, await call_until_answered(call)
    finally:
        watcher.cancel()


async def call_until_answered(call: Callable[[], Awaitable[int]]) -> int:
    """Return the status of a call that is repeated while it is refused or cut."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + ANSWER_TIMEOUT_S
    status = 0
    while status != 200 and loop.time() < give_up_at:  # noqa: ASYNC110
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout_at(give_up_at):
                status = await call()
        await asyncio.sleep(RETRY_S)
    return status
