"""Define the settings of a host that forwards requests to registered targets."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from trefoilstage.configuration.schema import HttpUrl

# The platform assigns names; the limit allows all of them and fits in messages.
Name = Annotated[str, Field(min_length=1, max_length=100)]
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]


class FleetSettings(BaseModel):
    """Describe a host's name and addresses and the limits that all hosts share."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Name
    data_center: Name
    regions: dict[Name, Name] = {}  # by data centre
    address: str
    caller_port: Port
    ready_port: Port
    peer_port: Port
    metrics_port: Port = 0
    store_url: HttpUrl
    store_partitions: Annotated[int, Field(ge=1)] = 1
    target_drain_s: Seconds = 2.0
    shutdown_grace_s: Seconds = 8.0
    retry_ratio: Annotated[float, Field(ge=0)] = 0.2
    retry_slack: Annotated[float, Field(ge=0)] = 50.0
    retry_window_s: Seconds = 10.0
    # A cold target may get its service's rate times the factor, plus the slack, in any
    # second. Without them, cold targets are used like the others.
    cold_rate_factor: Annotated[float, Field(ge=0)] | None = None
    cold_rate_slack: Annotated[float, Field(ge=0)] | None = None  # requests
    # For targets that crash when their requests need more memory than they have: while
    # a service is nearly full, its requests wait in one queue of the fleet.
    has_admission_queue: bool = False
    # Of the machine. What clients may hold follows from them.
    memory_mb: Annotated[float, Field(gt=0)] = 88.0
    max_descriptors: Annotated[int, Field(gt=0)] = 4_100
