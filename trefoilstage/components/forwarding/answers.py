"""Define what a request that was sent to a target may result in."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from trefoilstage.components.forwarding.translator import AnswerHead
from trefoilstage.exceptions import TrefoilstageError


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Report that a target certainly did not run a request."""

    reason: str
    head: AnswerHead | None = None  # None if the target did not answer
    misdirected: bool = False  # another target has this address
    busy: bool = False  # the target refused it for lack of capacity
    unreachable: bool = False  # no connection could be opened
    timed_out: bool = False  # the connection attempt timed out
    host_was_suspended: bool = False  # this host was suspended while it connected
    # Neither this host nor any peer that it asked reaches targets.
    path_lost: bool = False
    connected: bool = False  # a new connection was opened

    @property
    def says_nothing_of_target(self) -> bool:
        """Return whether the reason for the failure lies at the hosts."""
        return self.host_was_suspended or self.path_lost


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidAnswer:
    """Report that a target gave no valid answer; it may have run the request."""

    reason: str
    head: AnswerHead | None = None  # None if there was no answer to this request
    connected: bool = False  # a new connection was opened


class AnswerBrokenError(TrefoilstageError):
    """Raised when an answer ends before it is complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenAnswer:
    """Represent an answer whose head was checked and whose body is not read yet."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    connected: bool = False  # a new connection was opened
    connected_at: float = float("inf")  # when its connection was opened, at the latest
    # Whether the answer has a length or chunks; else only its connection's end ends it.
    is_framed: bool = True

    def read(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises AnswerBrokenError if the answer ends early.
        """
        raise NotImplementedError

    def close(self) -> None:
        """Cancel the request at the target unless the answer is complete."""
        raise NotImplementedError


SendOutcome = OpenAnswer | NotRun | InvalidAnswer
