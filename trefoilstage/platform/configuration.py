"""Decode the operators' configuration and the targets' entries from the store.

The `Wire...` models validate the platform's JSON and keep its field names.
"""

import ipaddress
from typing import Annotated, Any, Literal

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
# The rest of the key is the zone, which is a data centre here.
EVACUATION_PREFIX = "evacuate/"
# The platform's "unsafe" means "at most once".
ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
}
# Callers abandon a stream that sends no event for the largest of three limits: this
# minimum and two multiples of the route's objectives.
MIN_SILENCE_LIMIT_S = 2.0
SILENCE_LIMIT_PER_OBJECTIVE = 4.0
SILENCE_LIMIT_PER_GAP_OBJECTIVE = 8.0
PositiveFloat = Annotated[float, Field(gt=0)]
MAX_PORT = 65_535
# Limits far above every value seen, and small enough for messages between hosts.
MAX_NAME_LENGTH = 200
MAX_SLOTS = 1_000_000
MAX_UNIX_MS = 2**53
MAX_COLD_MS = 86_400_000
MAX_ENGINE_AMOUNT = 2**53
BYTES_PER_MEGABIT = 125_000


class WireSplit(BaseModel):
    """Describe one service's share of a route's traffic."""

    service: str
    weight: Annotated[float, Field(ge=0)] = 1.0


class WireRoute(BaseModel):
    """Describe a route."""

    name: str
    host: str
    path_prefix: str
    kind: str = "unsafe"
    timeout_ms: PositiveFloat = 15_000
    target_latency_ms: PositiveFloat = 1_000
    priority: int = 0
    service: str | None = None
    traffic_split: list[WireSplit] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    allowed_regions: list[str] = []  # none listed: all are allowed


class WireEngine(BaseModel):
    """Describe the model engines of a service."""

    slots: int = 1
    kv_tokens: int = 0
    stride: int = 1  # maximum tokens in one event of a stream
    # Not validated here: a malformed value must not put off a whole configuration.
    kv_bytes: Any = None  # of one token in the KV cache
    link_mbps: Any = None  # megabits a second between two engines


class WireService(BaseModel):
    """Describe a service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: WireEngine | None = None
    cold_s: Annotated[float, Field(ge=0)] = 0.0
    cold_per_s: Annotated[float, Field(ge=0)] | None = None


class WireTenant(BaseModel):
    """Describe a tenant, which is a workspace here."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None  # tokens for the whole day
    allowed_regions: list[str] = []  # none listed: all are allowed


class WireLimits(BaseModel):
    """Describe the limits on callers' requests."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: PositiveFloat = 15_000


class WireConfiguration(BaseModel):
    """Describe a whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = WireLimits()


class WireTarget(BaseModel):
    """Describe the entry of a server, which is a target here.

    Validation is strict, without conversions or defaults for required fields: an entry
    by another writer may differ from a target's in a single field, and requests would
    be sent to an address that no target has.
    """

    model_config = ConfigDict(strict=True)

    service: Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
    address: str
    zone: Annotated[str, Field(max_length=MAX_NAME_LENGTH)]  # the data centre
    version: Annotated[str, Field(max_length=MAX_NAME_LENGTH)]  # of its software
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Field(ge=0, le=MAX_COLD_MS)]
    sequence: Annotated[int, Field(ge=0)]
    # Start time in Unix milliseconds; with the name, it identifies the incarnation.
    born: Annotated[int, Field(ge=0, le=MAX_UNIX_MS)] | None = None

    @field_validator("address")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Accept only an IPv4 address and a port; host names are not resolved."""
        host, _, port = value.rpartition(":")
        ipaddress.IPv4Address(host)
        if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise ValueError("the port is not a number from 1 to 65535")
        return value


def decode_configuration(data: bytes) -> FleetConfiguration:
    """Decode a configuration; raise MalformedMessageError if it is invalid."""
    try:
        wire = WireConfiguration.model_validate_json(data)
    except ValidationError as error:
        raise MalformedMessageError(describe_locations(error)) from error
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
    """Convert a route; an unknown kind is treated as at most once."""
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
        kind=ROUTE_KINDS.get(wire.kind, RouteKind.ONCE),
        shares=tuple(shares),
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        gap_objective_s=wire.gap_aim_ms / MS_PER_S,
        allowed_regions=frozenset(wire.allowed_regions),
        silence_limit_s=max(
            MIN_SILENCE_LIMIT_S,
            SILENCE_LIMIT_PER_OBJECTIVE * wire.target_latency_ms / MS_PER_S,
            SILENCE_LIMIT_PER_GAP_OBJECTIVE * wire.gap_aim_ms / MS_PER_S,
        ),
    )


def decode_service(wire: WireService) -> TargetService:
    """Convert a service."""
    engine = None
    if wire.engine is not None:
        engine = Engine(
            slots=wire.engine.slots,
            kv_tokens=wire.engine.kv_tokens,
            tokens_per_event=max(1, wire.engine.stride),
            kv_bytes_per_token=read_positive(wire.engine.kv_bytes),
            transfer_bytes_per_s=BYTES_PER_MEGABIT
            * read_positive(wire.engine.link_mbps),
        )
    return TargetService(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=engine,
        cold_s=wire.cold_s,
        cold_requests_per_s=wire.cold_per_s,
    )


def read_positive(value: object) -> float:
    """Return a positive number, 0 for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if 0 < value <= MAX_ENGINE_AMOUNT else 0.0


def decode_workspace(wire: WireTenant) -> Workspace:
    """Convert a tenant to a workspace."""
    return Workspace(
        name=wire.name,
        priority=wire.priority,
        prepaid_tokens=wire.prepaid,
        allowed_regions=frozenset(wire.allowed_regions),
    )


def decode_target(name: str, data: bytes) -> TargetEntry:
    """Decode a target's entry; raise MalformedMessageError if it is invalid."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise MalformedMessageError("the target's name is empty or too long")
    try:
        wire = WireTarget.model_validate_json(data)
    except ValidationError as error:
        raise MalformedMessageError(describe_locations(error)) from error
    return TargetEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        data_center=wire.zone,
        slots=wire.slots,
        phase=TargetPhase(wire.state),
        version=wire.version,
        started_ms=wire.born or 0,
        sequence=wire.sequence,
        cold_s=wire.cold_remaining_ms / MS_PER_S,
    )


def describe_locations(error: ValidationError) -> str:
    """Return the fields that failed validation, without their values.

    The values may contain callers' keys.
    """
    locations = [".".join(map(str, item["loc"])) for item in error.errors()]
    return f"invalid fields: {', '.join(locations[:20])}"
