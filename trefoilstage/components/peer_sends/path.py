"""Choose the path to the targets: this host's own links, or a peer's."""

from trefoilstage.components.forwarding.answers import (
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.reach_monitor import ReachMonitor
from trefoilstage.components.forwarding.sender import Sender
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.sender import PeerAnswer

# A target that is up accepts a probe within 2 ms.
CONFIRM_TIMEOUT_S = 0.02


class PathSender:
    """Send requests through peers while this host reaches no target of a service."""

    def __init__(
        self, *, monitor: ReachMonitor, direct: Sender, through_peers: Sender
    ) -> None:
        self._monitor = monitor
        self._direct = direct
        self._through_peers = through_peers

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> SendOutcome:
        """Return a target's answer, or whether it may have run the request."""
        service = target.service
        if not self._monitor.is_confirmed(service):
            outcome = await self._through_peers.send(request, body, target, options)
            if not is_path_lost(outcome) or (
                self._monitor.is_lost(service)
                and not await self._monitor.check_within(service, CONFIRM_TIMEOUT_S)
            ):
                return outcome
        outcome = await self._direct.send(request, body, target, options)
        self._monitor.record_outcome(target, outcome)
        is_unreachable = isinstance(outcome, NotRun) and outcome.unreachable
        if not is_unreachable or await self._monitor.wait_until_confirmed(
            service, CONFIRM_TIMEOUT_S
        ):
            return outcome
        through_peer = await self._through_peers.send(request, body, target, options)
        return outcome if is_path_lost(through_peer) else through_peer

    def record_broken(self, target: TargetEntry, answer: OpenAnswer) -> None:
        """Record that an answer broke off."""
        if not isinstance(answer, PeerAnswer):
            self._monitor.record_failure(target)


def is_path_lost(outcome: SendOutcome) -> bool:
    """Return whether a send failed because no peer that was asked reaches targets."""
    return isinstance(outcome, NotRun) and outcome.path_lost
