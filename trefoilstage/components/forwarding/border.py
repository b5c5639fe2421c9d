"""Define how requests and answers look to the pipeline at its borders."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.exceptions import TrefoilstageError


class MalformedRequestError(TrefoilstageError):
    """Report a caller's request that can't be read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardOptions:
    """Hold what this system adds to a request for a target."""

    workspace: str
    deadline_s: float | None
    urgency: int | None = None
    resume_after: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Hold what the head of a target's answer says."""

    status: int
    not_run: bool  # the target says that it did not run the request
    misdirected: bool  # another target has the address now
    signed: bool
    own: bool  # the answer names this request
    named: bool  # the answer names some request
    encoded: bool
    closing: bool

    @property
    def success(self) -> bool:
        """Tell whether the target claims success."""
        return 200 <= self.status < 300

    @property
    def own_or_unnamed(self) -> bool:
        """Tell whether the answer does not name another request."""
        return self.own or not self.named

    @property
    def trusted(self) -> bool:
        """Tell whether the answer is the target's answer to this request."""
        return self.signed and self.own and not self.encoded


class Border(Protocol):
    """Translate requests and answers; one implementation a protocol."""

    def read_request(
        self, *, method: str, raw_target: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Return a caller's request, or raise MalformedRequestError."""

    def write_request(
        self, request: CallerRequest, target: TargetEntry, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target."""

    def read_answer(
        self, request: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return what an answer's head says."""

    def write_answer(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that go on to the caller."""

    def write_refusal(self, request: CallerRequest | None) -> list[tuple[str, str]]:
        """Return the headers that name the request in an answer of our own."""
