"""Describe how far one caller's request got, for the log."""

from dataclasses import dataclass, field
from typing import Self

from aiohttp import web

from trefoilstage.components.connections.memory import MemoryAccount, MemoryPart
from trefoilstage.components.forwarding.models import CallerRequest
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule


@dataclass(kw_only=True, slots=True)
class Exchange:
    """Hold what is known of a request, from its head to the end of its answer."""

    web_request: web.BaseRequest
    started_at: float
    body_memory: MemoryPart
    answer_account: MemoryAccount
    answer_memory: MemoryPart = field(init=False)
    request: CallerRequest | None = None
    state: RequestState | None = None  # None until the body has arrived

    def __post_init__(self) -> None:
        self.answer_memory = MemoryPart(account=self.answer_account)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.body_memory.release()
        self.answer_memory.release()

    @property
    def is_caller_connected(self) -> bool:
        """Return whether the caller still waits for an answer."""
        transport = self.web_request.transport
        return transport is not None and not transport.is_closing()

    def describe(
        self, now: float, shutdown: ShutdownSchedule | None
    ) -> dict[str, object]:
        """Return the fields of a log line about the end of this request."""
        state = self.state
        return {
            "request": self.request.request_id if self.request else "",
            "workspace": state.workspace_name if state else "",
            "route": state.route.name if state else "",
            "target": state.target if state else "",
            "sends": state.n_sends if state else 0,
            "possible_runs": state.n_possible_runs if state else 0,
            "events": state.n_events if state else 0,
            "age_s": now - self.started_at,
            "left_s": state.deadline - now if state else "",
            "shutdown_s": now - shutdown.started_at if shutdown else "",
        }
