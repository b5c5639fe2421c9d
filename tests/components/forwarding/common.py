"""Create routes and targets for the forwarding tests."""

from zlib import crc32

from trefoilstage.components.forwarding.models import (
    CallerRequest,
    Route,
    RouteKind,
    ServiceShare,
    TargetEntry,
    TargetPhase,
)
from trefoilstage.components.forwarding.target_filter import TargetFilter

REQUEST = CallerRequest(
    request_id="r-1",
    method="GET",
    host="club.example",
    path="/x/",
    raw_target="/x/",
    key="",
    deadline_s=5.0,
    n_prompt_tokens=0,
    max_output_tokens=0,
    prompt=(),
    headers=(),
)

MAX_PORT = 65_535
ASSISTANT = TargetFilter(service="assistant")


def make_route(prefix: str, *, host: str = "club.example", name: str = "") -> Route:
    """Return a route for a host name and path prefix."""
    return Route(
        name=name or prefix,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        shares=(ServiceShare(service="booking", weight=1.0),),
        timeout_s=1.0,
        objective_s=0.2,
        priority=1,
        max_attempts=2,
        public=False,
        resumable=False,
    )


def make_target(
    name: str,
    *,
    service: str = "assistant",
    data_center: str = "brest",
    phase: TargetPhase = TargetPhase.READY,
    address: str = "",
    started_ms: int = 0,
    version: str = "v1",
) -> TargetEntry:
    """Return the registry entry of a target; without an address, its own one."""
    return TargetEntry(
        name=name,
        service=service,
        address=address or f"127.0.0.1:{1 + crc32(name.encode()) % MAX_PORT}",
        data_center=data_center,
        slots=64,
        phase=phase,
        started_ms=started_ms,
        version=version,
    )
