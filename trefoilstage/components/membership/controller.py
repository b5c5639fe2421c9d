"""Detect which peers reply to heartbeats.

The result only speeds up decisions; no guarantee depends on it.
"""

import asyncio

from mode import Service

from trefoilstage.blackboard import Blackboard, PeerStatus
from trefoilstage.components.log_client.stream import Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.membership.peer_selection import pick_watched
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import Heartbeat, PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.configuration.fold import HostEntry
from trefoilstage.configuration.records import HostDown, HostUp
from trefoilstage.const import MAX_FULL_MESH_PEERS
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.state import DrawStatus
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

# Number of hosts that watch the holder and the witness of a draw that is not open.
N_RECOVERERS = 3
ANNOUNCE_CHECK_S = 0.02
# A heartbeat and its reply show each of two hosts that the other is live, so one of
# them need not send its own. The share of the interval is below 1; otherwise each
# host would wait for the other's heartbeat in every interval.
RECENT_HEARTBEAT_SHARE = 0.8


class MembershipController(Service):
    """Send heartbeats and write each peer's status to the blackboard."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        heartbeat_s: float,
        suspect_after_s: float,
        forget_after_s: float,
        streams: Streams,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._forget_after_s = forget_after_s
        self._beating: dict[str, asyncio.Task[None]] = {}
        self._ticket: Ticket | None = None
        self._announcement: HostUp | None = None
        self._links = links
        self._timer = timer
        self._heartbeat_s = heartbeat_s
        self._suspect_after_s = suspect_after_s
        server.register(Heartbeat, self._answer_heartbeat)

    async def on_start(self) -> None:
        """Start sending heartbeats."""
        self._unsubscribe = self._timer.subscribe(
            name="heartbeat",
            interval_s=self._heartbeat_s,
            callback=self._send_heartbeats,
        )

    async def on_stop(self) -> None:
        """Stop sending heartbeats."""
        self._unsubscribe()
        for task in list(self._beating.values()):
            task.cancel()

    def make_heartbeat(self) -> Heartbeat:
        """Return this host's heartbeat."""
        return Heartbeat(
            host=self._blackboard.host, incarnation=self._blackboard.incarnation
        )

    async def _answer_heartbeat(self, message: Heartbeat) -> PeerMessage:
        self._record_heartbeat(message)
        return self.make_heartbeat()

    async def _send_heartbeats(self) -> None:
        hosts = self._blackboard.config.hosts
        is_large = len(hosts) > MAX_FULL_MESH_PEERS + 1
        partners = list_draw_partners(self._blackboard) if is_large else set()
        watched = pick_watched(self._blackboard.host, hosts, partners)
        self._blackboard.watched = frozenset(watched)
        # Each heartbeat is a separate task: a peer that does not respond would
        # otherwise delay the heartbeats to all others by its whole timeout.
        for name in sorted(watched - self._beating.keys()):
            if self._was_heard_recently(hosts[name]):
                continue
            task = asyncio.create_task(self._send_heartbeat(hosts[name]), name=name)
            self._beating[name] = task
            task.add_done_callback(self._remove_heartbeat_task)
        self._remove_unwatched_peers(set(hosts), watched)
        self._report_lost_hosts(watched)
        self._announce_if_removed()

    def _was_heard_recently(self, entry: HostEntry) -> bool:
        """Return whether a recent heartbeat from a peer makes one to it unnecessary."""
        status = self._blackboard.peers.get(entry.host)
        if status is None or status.incarnation != entry.incarnation:
            return False
        silent_s = self._timer.now() - status.last_heard
        return (
            status.reachable and silent_s < self._heartbeat_s * RECENT_HEARTBEAT_SHARE
        )

    def _remove_heartbeat_task(self, task: asyncio.Task[None]) -> None:
        self._beating.pop(task.get_name(), None)

    def _remove_unwatched_peers(self, hosts: set[str], watched: set[str]) -> None:
        now = self._timer.now()
        for name, status in list(self._blackboard.peers.items()):
            is_stale = now - status.last_heard >= self._suspect_after_s
            if name not in hosts or (name not in watched and is_stale):
                del self._blackboard.peers[name]

    def _report_lost_hosts(self, watched: set[str]) -> None:
        now = self._timer.now()
        for name in sorted(watched):
            entry = self._blackboard.config.hosts[name]
            status = self._blackboard.peers.get(name)
            if status is None or status.reachable or self._is_listed(name):
                continue
            # As long as a host that has ended stays in the configuration, other hosts
            # lose time trying to reach it. One that was only cut off announces itself
            # again.
            if now - status.last_heard < self._forget_after_s:
                continue
            if self._should_report(entry):
                self._submit(HostDown(incarnation=entry.incarnation))

    def _should_report(self, entry: HostEntry) -> bool:
        # In a large fleet the first-ranked host seldom watches the lost one. Each
        # of the few hosts that do may report it, since a second report is harmless.
        if len(self._blackboard.config.hosts) > MAX_FULL_MESH_PEERS + 1:
            return True
        return self._streams.get_own_rank(entry.incarnation) == 0

    def _is_listed(self, name: str) -> bool:
        return name in self._blackboard.listed

    def _announce_if_removed(self) -> None:
        is_removed = self._blackboard.host not in self._blackboard.config.hosts
        if is_removed and self._blackboard.phase is Phase.SERVING:
            self._submit(self._announcement)

    def _submit(self, record: HostUp | HostDown | None) -> None:
        ticket = self._ticket
        if record is None or (ticket is not None and not ticket.future.done()):
            return
        self._ticket = self._streams.submit_config(record)

    async def _send_heartbeat(self, entry: HostEntry) -> None:
        link = self._links.get_link(entry.peer_url)
        try:
            reply = await link.call(
                self.make_heartbeat(), timeout_s=self._suspect_after_s
            )
        except PeerUnavailableError:
            self._record_missed_heartbeat(entry)
            return
        if isinstance(reply, Heartbeat) and reply.host == entry.host:
            self._record_heartbeat(reply)

    def set_announcement(self, record: HostUp) -> None:
        """Announce this host once it is caught up, and whenever the log has removed it.

        The log removes a host that another host reports as lost.
        """
        self._announcement = record
        self._unsubscribe_first = self._timer.subscribe(
            name="announcement",
            interval_s=ANNOUNCE_CHECK_S,
            callback=self._announce_once_caught_up,
        )

    async def _announce_once_caught_up(self) -> None:
        # When the announcement is appended, a log with a short retention drops the
        # checkpoint that a host still needs until it is caught up.
        if self._streams.config.status.caught_up and self._announcement is not None:
            self._unsubscribe_first()
            self._streams.submit_config(self._announcement)

    def _record_heartbeat(self, message: Heartbeat) -> None:
        status = self._blackboard.peers.get(message.host)
        if status is None or status.incarnation != message.incarnation:
            status = PeerStatus(incarnation=message.incarnation, last_heard=0.0)
            self._blackboard.peers[message.host] = status
        if not status.reachable:
            log_event(Event.PEER_BACK, peer=message.host)
        status.reachable = True
        status.last_heard = self._timer.now()

    def _record_missed_heartbeat(self, entry: HostEntry) -> None:
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


def list_draw_partners(blackboard: Blackboard) -> set[str]:
    """Return the hosts whose status this one has to know because of a draw.

    A draw is a part of a budget that one host, its holder, takes; its witness accounts
    for it if the holder is lost.
    """
    own_incarnation = blackboard.incarnation
    hosts = {
        entry.incarnation: entry.host for entry in blackboard.config.hosts.values()
    }
    incarnations: set[str] = set()
    for ledger in blackboard.ledgers.values():
        for name, draw in ledger.draws.items():
            if draw.status is not DrawStatus.OPEN:
                # The witness may be lost as well; the hosts that rank first for the
                # draw have to detect that both are.
                if own_incarnation in rank_by_rendezvous(name, hosts)[:N_RECOVERERS]:
                    incarnations |= {draw.holder, draw.witness}
            elif draw.holder == own_incarnation:
                incarnations.add(draw.witness)
            elif draw.witness == own_incarnation:
                incarnations.add(draw.holder)
    return {hosts[item] for item in incarnations if item in hosts}
