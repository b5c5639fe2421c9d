"""Define the messages with which a host sends requests to targets through a peer."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.forwarding.answers import InvalidAnswer, NotRun
from trefoilstage.components.forwarding.models import CallerRequest
from trefoilstage.components.forwarding.translator import AnswerHead, ForwardOptions
from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.helpers.field_types import ShortText

# Leaves room for the request's head in one message.
MAX_BODY_BYTES = MAX_PEER_MESSAGE_BYTES - 200_000


@dataclass(frozen=True, kw_only=True, slots=True)
class SendToTarget:
    """Ask a peer to send a request to a target, without the caller's key."""

    request: CallerRequest
    body: bytes
    target: ShortText  # its incarnation
    options: ForwardOptions
    kind: Literal["send_to_target"] = "send_to_target"


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPending:
    """Report that the peer is at work; sent at once, and while nothing else is."""

    kind: Literal["send_pending"] = "send_pending"


@dataclass(frozen=True, kw_only=True, slots=True)
class SendFailed:
    """Return why there is no answer; exactly one of the two is set."""

    not_run: NotRun | None = None
    invalid: InvalidAnswer | None = None
    kind: Literal["send_failed"] = "send_failed"


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStarted:
    """Return the head of a target's answer."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    # Whether the peer knows already that its connection leads to the incarnation that
    # was named. Otherwise, a host that needs to know asks with AskStart.
    is_proven: bool = False
    is_framed: bool = True  # as of OpenAnswer
    kind: Literal["answer_started"] = "answer_started"


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerData:
    """Return a part of the answer's body."""

    data: bytes
    kind: Literal["answer_data"] = "answer_data"


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerEnded:
    """Report the end of an answer, and the error if it broke off."""

    error: ShortText = ""
    kind: Literal["answer_ended"] = "answer_ended"


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTarget:
    """Ask a peer whether a target accepts its connections."""

    target: ShortText  # its incarnation
    kind: Literal["probe_target"] = "probe_target"


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeReply:
    """Reply with the result of a probe, None if the peer can't tell."""

    result: ProbeResult | None
    kind: Literal["probe_reply"] = "probe_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class AskStart:
    """Ask a peer when a target started, as the target says itself."""

    target: ShortText  # its incarnation
    kind: Literal["ask_start"] = "ask_start"


@dataclass(frozen=True, kw_only=True, slots=True)
class StartReply:
    """Reply with a target's start in Unix ms, None if the peer can't tell."""

    started_ms: int | None
    kind: Literal["start_reply"] = "start_reply"


PeerSendMessage = (
    SendToTarget
    | SendPending
    | SendFailed
    | AnswerStarted
    | AnswerData
    | AnswerEnded
    | ProbeTarget
    | ProbeReply
    | AskStart
    | StartReply
)
