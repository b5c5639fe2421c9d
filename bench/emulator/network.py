"""Emulate the network between hosts, and between hosts and the store."""

import asyncio
from collections import defaultdict
from typing import Any

from standins.keyed_store import KeyedStore
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.peers.frames import ErrorReply
from trefoilstage.components.peers.link import PeerLink
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.streams import PeerStream, PeerStreams
from trefoilstage.components.views.store import (
    RecordBatch,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.exceptions import PeerUnavailableError

ONE_WAY_S = 0.0007
STORE_CALL_S = 0.006
# A call from a cut host hangs this long before it fails, as with a client's timeout.
CUT_CALL_S = 1.5


class SharedStore:
    """Represent the store that all hosts share, with its delay and cut hosts."""

    def __init__(self) -> None:
        self.store = KeyedStore()
        self.delay_factor = 1.0
        self.cut_hosts: set[str] = set()
        self.n_calls = 0
        self._changed: dict[Topic, asyncio.Event] = defaultdict(asyncio.Event)

    def notify_change(self, topic: Topic) -> None:
        """Wake the reads that wait for a change of a topic."""
        self._changed.pop(topic, asyncio.Event()).set()

    async def wait_for_change(self, topic: Topic, seconds: float) -> None:
        """Wait until a topic changes, at most `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed[topic].wait()
        except TimeoutError:
            return


class StoreClient:
    """Call the shared store on behalf of one incarnation of a host."""

    def __init__(self, *, host: str, shared_store: SharedStore) -> None:
        self._host = host
        self._shared_store = shared_store
        self.is_killed = False

    async def _call_store(self) -> None:
        self._shared_store.n_calls += 1
        if self.is_killed or self._host in self._shared_store.cut_hosts:
            await asyncio.sleep(CUT_CALL_S)
            raise StoreUnavailableError("cut off")
        await asyncio.sleep(STORE_CALL_S * self._shared_store.delay_factor)
        if self.is_killed:
            raise StoreUnavailableError("killed")

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key."""
        await self._call_store()
        return await self._shared_store.store.list_newest(topic, partition)

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on; wait for one up to `wait_s`."""
        await self._call_store()
        found = await self._shared_store.store.read(topic, offset, wait_s, partition)
        if not found.records and wait_s > 0:
            await self._shared_store.wait_for_change(topic, wait_s)
            if self.is_killed or self._host in self._shared_store.cut_hosts:
                raise StoreUnavailableError("cut off")
            found = await self._shared_store.store.read(
                topic, offset, wait_s, partition
            )
        return found

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        expected_end_offset: int | None = None,
    ) -> int | None:
        """Write a key; return its offset, or None if the end offset differs."""
        await self._call_store()
        offset = await self._shared_store.store.put(
            topic,
            key,
            value,
            partition=partition,
            expected_end_offset=expected_end_offset,
        )
        self._shared_store.notify_change(topic)
        return offset


class Network:
    """Map the URLs of running hosts to their servers, and count messages."""

    def __init__(self) -> None:
        self.servers: dict[str, PeerServer] = {}
        self.n_messages = 0
        self.n_streams = 0


class EmulatedLink(PeerLink):
    """Deliver messages to the host at one URL."""

    def __init__(self, *, url: str, network: Network) -> None:
        self.url = url
        self._network = network

    async def call(
        self, message: Any, *, timeout_s: float, is_long_poll: bool = False
    ) -> Any:
        """Return the peer's reply, or raise PeerUnavailableError."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._deliver(message)
                await asyncio.sleep(ONE_WAY_S)
        except TimeoutError as error:
            raise PeerUnavailableError("no reply") from error
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(reply.detail)
        return reply

    async def send(self, message: Any, *, timeout_s: float) -> None:
        """Send a message that gets no reply."""
        await self._deliver(message)

    async def _deliver(self, message: Any) -> Any:
        self._network.n_messages += 1
        await asyncio.sleep(ONE_WAY_S)
        server = self._network.servers.get(self.url)
        if server is None:
            raise PeerUnavailableError("refused")
        return await server.handle(message)


class EmulatedStream:
    """Exchange the messages of one call with the host at one URL."""

    def __init__(self, *, server: PeerServer) -> None:
        self._server = server
        self._received: asyncio.Queue[Any] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    async def send(self, message: Any) -> None:
        """Send a message, and start to receive the replies."""
        await asyncio.sleep(ONE_WAY_S)
        handling = self._server.handle_stream(message, self._put)
        self._task = asyncio.create_task(handling)

    async def _put(self, message: Any) -> None:
        self._received.put_nowait(message)

    async def receive(self, timeout_s: float) -> Any:
        """Return the next message, or raise PeerUnavailableError."""
        try:
            async with asyncio.timeout(timeout_s):
                message = await self._received.get()
        except TimeoutError as error:
            raise PeerUnavailableError("no reply") from error
        await asyncio.sleep(ONE_WAY_S)
        return message

    def release(self) -> None:
        """Do nothing, because streams share no connections."""

    def close(self) -> None:
        """Cancel the call."""
        if self._task is not None:
            self._task.cancel()


class EmulatedStreams(PeerStreams):
    """Open the streams of one host."""

    def __init__(self, *, network: Network) -> None:
        super().__init__(outbound_address="", codec=FLEET_CODEC)
        self._network = network

    async def open(self, url: str) -> PeerStream:
        """Return a stream to a URL, or raise PeerUnavailableError."""
        await asyncio.sleep(ONE_WAY_S)
        server = self._network.servers.get(url)
        if server is None:
            raise PeerUnavailableError("refused")
        self._network.n_streams += 1
        return EmulatedStream(server=server)


class EmulatedLinks(PeerLinks):
    """Provide the links of one host."""

    def __init__(self, *, network: Network) -> None:
        super().__init__(outbound_address="", codec=FLEET_CODEC)
        self._network = network

    def get_link(self, url: str) -> PeerLink:
        """Return a link to a URL."""
        return EmulatedLink(url=url, network=self._network)
