"""Tell which hosts answer; a hint for speed on which no promise rests."""

import asyncio

from mode import Service

from trefoilstage.blackboard import Blackboard, PeerStatus
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import Heartbeat, PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.configuration.fold import HostEntry
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService


class MembershipController(Service):  # type: ignore[misc]
    """Send heartbeats and write each peer's status on the blackboard."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        heartbeat_s: float,
        suspect_after_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._links = links
        self._timer = timer
        self._heartbeat_s = heartbeat_s
        self._suspect_after_s = suspect_after_s
        server.register(Heartbeat, self._answer_heartbeat)

    async def on_start(self) -> None:
        """Start the heartbeat."""
        self._unsubscribe = self._timer.subscribe(
            name="heartbeat", interval_s=self._heartbeat_s, callback=self._beat
        )

    async def on_stop(self) -> None:
        """Stop the heartbeat."""
        self._unsubscribe()

    def make_heartbeat(self) -> Heartbeat:
        """Return this host's heartbeat."""
        return Heartbeat(
            host=self._blackboard.host, incarnation=self._blackboard.incarnation
        )

    async def _answer_heartbeat(self, message: Heartbeat) -> PeerMessage:
        self._note_heard(message)
        return self.make_heartbeat()

    async def _beat(self) -> None:
        hosts = self._blackboard.config.hosts
        peers = [
            entry for name, entry in hosts.items() if name != self._blackboard.host
        ]
        await asyncio.gather(*(self._beat_peer(entry) for entry in peers))
        for name in set(self._blackboard.peers) - set(hosts):
            del self._blackboard.peers[name]

    async def _beat_peer(self, entry: HostEntry) -> None:
        link = self._links.get_link(entry.peer_url)
        try:
            reply = await link.call(
                self.make_heartbeat(), timeout_s=self._suspect_after_s
            )
        except PeerUnavailableError:
            self._suspect_when_silent(entry)
            return
        if isinstance(reply, Heartbeat) and reply.host == entry.host:
            self._note_heard(reply)

    def _note_heard(self, message: Heartbeat) -> None:
        status = self._blackboard.peers.get(message.host)
        if status is None or status.incarnation != message.incarnation:
            status = PeerStatus(incarnation=message.incarnation, last_heard=0.0)
            self._blackboard.peers[message.host] = status
        if not status.reachable:
            log_event(Event.PEER_BACK, peer=message.host)
        status.reachable = True
        status.last_heard = self._timer.now()

    def _suspect_when_silent(self, entry: HostEntry) -> None:
        status = self._blackboard.peers.get(entry.host)
        if status is None:
            status = PeerStatus(
                incarnation=entry.incarnation,
                last_heard=self._timer.now(),
                reachable=True,
            )
            self._blackboard.peers[entry.host] = status
        silent_s = self._timer.now() - status.last_heard
        if status.reachable and silent_s >= self._suspect_after_s:
            status.reachable = False
            log_event(Event.PEER_LOST, peer=entry.host, silent_s=silent_s)
