"""Decode the operators' configuration and the targets' entries."""

import ipaddress
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from trefoilstage.components.forwarding.models import (
    CallerLimits,
    Engine,
    FleetConfiguration,
    Route,
    RouteKind,
    ServiceShare,
    TargetEntry,
    TargetPhase,
    TargetService,
    Workspace,
)
from trefoilstage.exceptions import MalformedMessageError

MS_PER_S = 1000.0
CONFIGURATION_KEY = "config"
# "unsafe" there means "at most once".
KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
}
# Callers give up a stream without an event for the longest of these.
SILENCE_LIMIT_S = 2.0
SILENCE_PER_OBJECTIVE = 4.0
SILENCE_PER_GAP = 8.0
Positive = Annotated[float, Field(gt=0)]
MAX_PORT = 65_535
# Far above what was seen, and small enough for messages between hosts.
MAX_NAME = 200
MAX_SLOTS = 1_000_000
MAX_UNIX_MS = 2**53


class WireSplit(BaseModel):
    """Check one service of a split route."""

    service: str
    weight: Annotated[float, Field(ge=0)] = 1.0


class WireRoute(BaseModel):
    """Check a route."""

    name: str
    host: str
    path_prefix: str
    kind: str = "unsafe"
    timeout_ms: Positive = 15_000
    target_latency_ms: Positive = 1_000
    priority: int = 0
    service: str | None = None
    traffic_split: list[WireSplit] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class WireEngine(BaseModel):
    """Check what is said of a service's model engines."""

    slots: int = 1
    kv_tokens: int = 0
    stride: int = 1  # tokens that one event of a stream may hold


class WireService(BaseModel):
    """Check a service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: WireEngine | None = None


class WireTenant(BaseModel):
    """Check a tenant, our workspace."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None  # tokens for the whole day


class WireLimits(BaseModel):
    """Check the limits on callers."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: Positive = 15_000


class WireConfiguration(BaseModel):
    """Check a whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = WireLimits()


class WireTarget(BaseModel):
    """Check a server's entry, our target.

    Nothing is converted or filled in: an entry by another writer may look like a
    target's but for one field, and requests would go to an address that it made up.
    """

    model_config = ConfigDict(strict=True)

    service: Annotated[str, Field(min_length=1, max_length=MAX_NAME)]
    address: str
    zone: Annotated[str, Field(max_length=MAX_NAME)]  # our data centre
    version: str
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Field(ge=0)]
    sequence: Annotated[int, Field(ge=0)]
    # Unix milliseconds of its start; with the name, it tells its incarnation.
    born: Annotated[int, Field(ge=0, le=MAX_UNIX_MS)] | None = None

    @field_validator("address")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Take an IPv4 address and a port only; names are not looked up."""
        host, _, port = value.rpartition(":")
        ipaddress.IPv4Address(host)
        if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise ValueError("the port is not a number from 1 to 65535")
        return value


def decode_configuration(data: bytes) -> FleetConfiguration:
    """Return the configuration, or raise MalformedMessageError."""
    try:
        wire = WireConfiguration.model_validate_json(data)
    except ValidationError as error:
        raise MalformedMessageError(describe(error)) from error
    workspaces = {tenant.name: decode_workspace(tenant) for tenant in wire.tenants}
    return FleetConfiguration(
        version=wire.version,
        routes=tuple(decode_route(route) for route in wire.routes),
        services={service.name: decode_service(service) for service in wire.services},
        workspaces=workspaces,
        workspaces_by_key={
            key: workspaces[tenant.name]
            for tenant in wire.tenants
            for key in tenant.api_keys
        },
        limits=CallerLimits(
            max_body_bytes=wire.limits.max_body_bytes,
            idle_timeout_s=wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_route(wire: WireRoute) -> Route:
    """Return a route."""
    shares = [
        ServiceShare(service=item.service, weight=item.weight)
        for item in wire.traffic_split
    ]
    if wire.service is not None and not shares:
        shares = [ServiceShare(service=wire.service, weight=1.0)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=KINDS.get(wire.kind, RouteKind.ONCE),
        shares=tuple(shares),
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        gap_objective_s=wire.gap_aim_ms / MS_PER_S,
        silence_limit_s=max(
            SILENCE_LIMIT_S,
            SILENCE_PER_OBJECTIVE * wire.target_latency_ms / MS_PER_S,
            SILENCE_PER_GAP * wire.gap_aim_ms / MS_PER_S,
        ),
    )


def decode_service(wire: WireService) -> TargetService:
    """Return a service."""
    engine = None
    if wire.engine is not None:
        engine = Engine(
            slots=wire.engine.slots,
            kv_tokens=wire.engine.kv_tokens,
            tokens_per_event=max(1, wire.engine.stride),
        )
    return TargetService(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=engine,
    )


def decode_workspace(wire: WireTenant) -> Workspace:
    """Return a workspace."""
    return Workspace(
        name=wire.name, priority=wire.priority, prepaid_tokens=wire.prepaid
    )


def decode_target(name: str, data: bytes) -> TargetEntry:
    """Return a target's entry, or raise MalformedMessageError."""
    if not 0 < len(name) <= MAX_NAME:
        raise MalformedMessageError("the target's name is empty or too long")
    try:
        wire = WireTarget.model_validate_json(data)
    except ValidationError as error:
        raise MalformedMessageError(describe(error)) from error
    return TargetEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        data_center=wire.zone,
        slots=wire.slots,
        phase=TargetPhase(wire.state),
        started_ms=wire.born or 0,
    )


def describe(error: ValidationError) -> str:
    """Return the places of all findings; the values may hold keys."""
    places = [".".join(map(str, item["loc"])) for item in error.errors()]
    return f"not valid: {', '.join(places[:20])}"
