"""Define the interface between the pipeline and the headers of a wire protocol."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.helpers.field_types import LocalText


class MalformedRequestError(TrefoilstageError):
    """Raised when a caller's request is malformed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardOptions:
    """Describe the values that are added to a request to a target."""

    workspace: str
    deadline_s: float | None
    urgency: int | None = None  # 0 is the most urgent
    resume_after: int | None = None  # id of the last event that the caller got
    # Address of the engine from which the target fetches the prompt's KV cache. Left
    # out of messages to peers, which may run a build that does not know it.
    fetch_from: LocalText = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Describe the status line and headers of a target's answer."""

    status: int
    not_run: bool  # the target states that it did not run the request
    misdirected: bool  # the address now belongs to another target
    has_seal: bool  # the answer carries the target's signature
    matches_request: bool  # the answer carries the id of this request
    has_request_id: bool  # the answer carries the id of a request
    is_encoded: bool  # the body has a content encoding
    closing: bool
    # Requests a second that the target takes from all hosts; None if it names no limit.
    limit_per_s: float | None = None
    # How long the target, which turned the request away, wants no other one from this
    # host; None if it does not say.
    rest_s: float | None = None
    # How many requests a second it may turn away for want of room before it falls over;
    # None from a sound target.
    max_refusals_per_s: float | None = None
    leaving: bool = False  # the target wants no new requests any more

    @property
    def success(self) -> bool:
        """Return whether the status reports success."""
        return 200 <= self.status < 300

    @property
    def names_no_other_request(self) -> bool:
        """Return whether the answer carries no id of another request."""
        return self.matches_request or not self.has_request_id

    @property
    def trusted(self) -> bool:
        """Return whether the answer is verified as the target's for this request."""
        return self.has_seal and self.matches_request and not self.is_encoded


class RequestTranslator(Protocol):
    """Translate requests and answers; each wire protocol has one implementation."""

    def read_request(
        self, *, method: str, raw_target: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Return a caller's request.

        Raises MalformedRequestError if the request is malformed.
        """

    def write_request(
        self, request: CallerRequest, target: TargetEntry, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target."""

    def read_answer(
        self, request: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return the parsed head of a target's answer."""

    def write_answer(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that are passed to the caller."""

    @property
    def report_path(self) -> str:
        """Return the path at which a target reports on itself."""

    def read_report(self, data: bytes) -> int | None:
        """Return when a target started, in Unix ms; None if its report doesn't say."""

    def write_refusal(self, request: CallerRequest | None) -> list[tuple[str, str]]:
        """Return the headers that identify the request in a refusal."""
