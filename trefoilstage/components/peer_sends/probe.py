"""Tell a target that ended from one that only this host can't reach."""

import asyncio
import random
from typing import Any

from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.reach_monitor import ReachMonitor
from trefoilstage.components.forwarding.start_prover import StartProbe
from trefoilstage.components.peer_sends.messages import (
    AskStart,
    ProbeReply,
    ProbeTarget,
    StartReply,
)
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState

# More than half of the hosts may have lost their links at once.
N_ASKED_AT_ONCE = 8
MAX_PEERS_ASKED = 24
# A peer probes the target, and then others, each until the probe times out.
ASK_TIMEOUT_S = 2.5
# Each asks the target; one may be silent, or cut itself.
N_ASKED_FOR_START = 2


class ConfirmedProbe:
    """Probe targets, and ask peers while this host's own links are in doubt."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        probe: TargetProbe,
        start_probe: StartProbe,
        monitor: ReachMonitor,
        membership: FleetMembership,
        links: PeerLinks,
        server: PeerServer,
        generator: random.Random,
    ) -> None:
        self._board = board
        self._probe = probe
        self._start_probe = start_probe
        self._monitor = monitor
        self._membership = membership
        self._links = links
        self._generator = generator
        server.register(ProbeTarget, self._answer)
        server.register(AskStart, self._answer_start)

    async def connect(self, address: str) -> ProbeResult:
        """Return whether a target takes requests, as hosts with links find.

        If no host that was asked reaches any target, the targets are down.
        """
        entry = self._find_entry(address)
        if entry is None:
            return await self._probe.connect(address)
        result = await self._probe_entry(entry)
        if await self._is_conclusive(result, entry.service):
            return result
        peers = self._pick_peers(entry.service)
        for first in range(0, len(peers), N_ASKED_AT_ONCE):
            asked = peers[first : first + N_ASKED_AT_ONCE]
            replies = await asyncio.gather(*(self._ask(peer, entry) for peer in asked))
            known = [reply for reply in replies if reply is not None]
            if known:
                return known[0]
        return result

    async def read_start(self, target: TargetEntry) -> int | None:
        """Return a target's start in Unix ms, None if nobody that is asked can tell."""
        if self._monitor.is_confirmed(target.service):
            return await self._start_probe.read_start(target)
        message = AskStart(target=target.incarnation)
        tasks = [
            asyncio.create_task(self._call(peer, message))
            for peer in self._pick_peers(target.service)[:N_ASKED_FOR_START]
        ]
        try:
            for next_done in asyncio.as_completed(tasks):
                reply = await next_done
                if isinstance(reply, StartReply) and reply.started_ms is not None:
                    return reply.started_ms
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _probe_entry(self, entry: TargetEntry) -> ProbeResult:
        result = await self._probe.connect(entry.address)
        if result is not ProbeResult.ACCEPTED or not self._runs_engine(entry):
            return result
        if await self._start_probe.is_answering(entry):
            return ProbeResult.ACCEPTED
        return ProbeResult.MUTE

    def _runs_engine(self, entry: TargetEntry) -> bool:
        """Return whether a target reports on itself without a free slot."""
        configuration = self._board.configuration
        service = configuration.services.get(entry.service) if configuration else None
        return service is not None and service.engine is not None

    async def _is_conclusive(self, result: ProbeResult, service: str) -> bool:
        """Return whether the target explains a result of this host's own probe."""
        if result in (ProbeResult.ACCEPTED, ProbeResult.MUTE):
            return True
        return await self._monitor.check(service)

    def _find_entry(self, address: str) -> TargetEntry | None:
        entries = (item.entry for item in self._board.targets.listed.values())
        return next((entry for entry in entries if entry.address == address), None)

    def _pick_peers(self, service: str) -> list[PeerState]:
        live = self._membership.list_live_hosts()
        peers = [self._board.peers[name] for name in live if name in self._board.peers]
        peers = [peer for peer in peers if service not in (peer.lost_services or ())]
        return self._generator.sample(peers, min(MAX_PEERS_ASKED, len(peers)))

    async def _ask(self, peer: PeerState, entry: TargetEntry) -> ProbeResult | None:
        """Return what a peer finds, None if it can't tell."""
        reply = await self._call(peer, ProbeTarget(target=entry.incarnation))
        return reply.result if isinstance(reply, ProbeReply) else None

    async def _call(self, peer: PeerState, message: Any) -> Any:
        """Return a peer's reply, None without one."""
        try:
            return await self._links.get_link(peer.peer_url).call(
                message, timeout_s=ASK_TIMEOUT_S
            )
        except PeerUnavailableError:
            return None

    async def _answer(self, message: ProbeTarget) -> ProbeReply:
        entry = self._board.targets.find_incarnation(message.target)
        if entry is None or self._monitor.is_lost(entry.service):
            return ProbeReply(result=None)
        result = await self._probe_entry(entry)
        is_conclusive = await self._is_conclusive(result, entry.service)
        return ProbeReply(result=result if is_conclusive else None)

    async def _answer_start(self, message: AskStart) -> StartReply:
        """Ask a target over this host's own links only, never through a third."""
        entry = self._board.targets.find_incarnation(message.target)
        if entry is None or not self._monitor.is_confirmed(entry.service):
            return StartReply(started_ms=None)
        return StartReply(started_ms=await self._start_probe.read_start(entry))
