"""Check the settings of a host that forwards to registered targets."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from trefoilstage.configuration.schema import HttpUrl

# Given by the platform; long enough for any that it may draw, and for messages.
Name = Annotated[str, Field(min_length=1, max_length=100)]
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]


class FleetSettings(BaseModel):
    """Describe one host: its name, addresses, and the fleet's limits."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Name
    data_center: Name
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
