"""Send requests to targets through peers that reach them."""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.messages import (
    MAX_BODY_BYTES,
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    SendFailed,
    SendPending,
    SendToTarget,
)
from trefoilstage.components.peers.streams import PeerStream, PeerStreams
from trefoilstage.exceptions import MessageNotSentError, PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# Each peer that doesn't reach the targets either says so within a round trip.
MAX_PEERS_ASKED = 5
# A host that is cut from its peers too finds each of them silent.
MAX_ASK_S = 0.5
# Longer than a call takes on a full link.
ACCEPT_TIMEOUT_S = 1.0
# A peer sends something four times as often.
SILENCE_TIMEOUT_S = 2.0
# In a large fleet, heartbeats don't tell which peers lost their links: those that said
# so themselves are not asked again sooner.
ASK_AGAIN_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerAnswer(OpenAnswer):
    """Represent an answer that a peer reads from the target."""

    stream: PeerStream

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise AnswerBrokenError if it ends early."""
        while True:
            try:
                message = await self.stream.receive(SILENCE_TIMEOUT_S)
            except PeerUnavailableError as error:
                raise AnswerBrokenError("the peer was lost") from error
            if isinstance(message, AnswerData):
                yield message.data
            elif isinstance(message, AnswerEnded):
                self.stream.release()
                if message.error:
                    raise AnswerBrokenError(message.error)
                return
            elif not isinstance(message, SendPending):
                raise AnswerBrokenError("unexpected message of the peer")

    def close(self) -> None:
        """Close the stream, which makes the peer cancel an incomplete request."""
        self.stream.close()


class PeerSender:
    """Send requests through peers, each chosen at random."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        streams: PeerStreams,
        timer: TimerService,
        generator: random.Random,
    ) -> None:
        self._board = board
        self._membership = membership
        self._streams = streams
        self._timer = timer
        self._generator = generator
        # By incarnation of the peer and service.
        self._out_of_reach_at: dict[tuple[str, str], float] = {}

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> SendOutcome:
        """Return a target's answer, or whether it may have run the request."""
        if len(body) > MAX_BODY_BYTES:
            return NotRun(reason="the body is too large for a peer", path_lost=True)
        message = SendToTarget(
            request=replace(request, key=""),
            body=body,
            target=target.incarnation,
            options=options,
        )
        outcome: SendOutcome = NotRun(reason="no peer is known", path_lost=True)
        ask_until = self._timer.now() + MAX_ASK_S
        for peer in self._pick_peers(target.service):
            if self._timer.now() >= ask_until:
                break
            outcome = await self._send_through(peer, message)
            if not (isinstance(outcome, NotRun) and outcome.path_lost):
                break
            said = peer.incarnation, target.service
            self._out_of_reach_at[said] = self._timer.now()
        return outcome

    def _pick_peers(self, service: str) -> list[PeerState]:
        """Return peers to ask, those first that report which services they reach."""
        now = self._timer.now()
        live = [
            self._board.peers[name]
            for name in self._membership.list_live_hosts()
            if name in self._board.peers
        ]
        peers = [peer for peer in live if self._may_reach(peer, service, now)]
        self._generator.shuffle(peers)
        peers.sort(key=lambda peer: peer.lost_services is None)
        return peers[:MAX_PEERS_ASKED]

    def _may_reach(self, peer: PeerState, service: str, now: float) -> bool:
        if service in (peer.lost_services or ()):
            return False
        said = peer.incarnation, service
        said_at = self._out_of_reach_at.get(said, float("-inf"))
        return now - said_at > ASK_AGAIN_AFTER_S

    async def _send_through(
        self, peer: PeerState, message: SendToTarget
    ) -> SendOutcome:
        log_event(
            Event.SENT_THROUGH_PEER,
            request=message.request.request_id,
            workspace=message.options.workspace,
            peer=peer.host,
            target=message.target,
        )
        try:
            stream = await self._streams.open(peer.peer_url)
        except PeerUnavailableError as error:
            return NotRun(reason=str(error), path_lost=True)
        try:
            return await self._receive_outcome(stream, message)
        except MessageNotSentError as error:
            stream.close()
            return NotRun(reason=str(error), path_lost=True)
        except PeerUnavailableError as error:
            stream.close()
            return InvalidAnswer(reason=f"peer lost: {error}")
        except BaseException:
            stream.close()
            raise

    async def _receive_outcome(
        self, stream: PeerStream, message: SendToTarget
    ) -> SendOutcome:
        await stream.send(message)
        timeout_s = ACCEPT_TIMEOUT_S
        while True:
            received = await stream.receive(timeout_s)
            timeout_s = SILENCE_TIMEOUT_S
            if isinstance(received, SendPending):
                continue
            if isinstance(received, AnswerStarted):
                return PeerAnswer(
                    head=received.head,
                    headers=received.headers,
                    connected_at=float("-inf")
                    if received.is_proven
                    else self._timer.now(),
                    is_framed=received.is_framed,
                    stream=stream,
                )
            stream.release()
            if isinstance(received, SendFailed):
                failed = received.not_run or received.invalid
                if failed is not None:
                    return replace(failed, connected=False)
            return InvalidAnswer(reason="unexpected message of the peer")
