"""Load and validate a host's settings from TOML."""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from trefoilstage.components.budget.policy import BudgetPolicy, RecoveryPolicy
from trefoilstage.components.routing.choice import RoutingPolicy
from trefoilstage.configuration.schema import HttpUrl, Identifier
from trefoilstage.exceptions import SettingsError

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]


class HostSettings(BaseModel):
    """Describe a host process: its name, addresses, external services and policies."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Identifier
    data_center: Identifier
    address: str = "127.0.0.1"
    outbound_address: str | None = None
    caller_port: Port = 0
    operator_port: Port = 0
    peer_port: Port = 0
    log_url: HttpUrl
    host_list_url: HttpUrl | None = None
    statsd_address: str | None = None
    statsd_port: Port = 8125
    log_timeout_s: Seconds = 2.0
    log_poll_s: Seconds = 1.0
    heartbeat_s: Seconds = 0.5
    suspect_after_s: Seconds = 1.5
    forget_after_s: Seconds = 600.0
    draw_horizon_s: Seconds = 2.0
    budget_policy: BudgetPolicy = BudgetPolicy.ADAPTIVE
    recovery: RecoveryPolicy = RecoveryPolicy.WITNESS
    fixed_draw_tokens: Annotated[int, Field(ge=1)] = 20_000
    witness_timeout_s: Seconds = 0.4
    recovery_grace_s: Seconds = 1.2
    admission_wait_s: Seconds = 1.0
    routing_policy: RoutingPolicy = RoutingPolicy.AFFINITY
    queue_limit: Annotated[int, Field(ge=0)] = 64
    queue_wait_s: Seconds = 2.0
    answer_retention_s: Seconds = 120.0
    checkpoint_every: Annotated[int, Field(ge=10)] = 2_000
    checkpoint_interval_s: Seconds = 600.0
    drain_timeout_s: Seconds = 120.0
    drain_grace_s: Annotated[float, Field(ge=0)] = 0.0
    flush_timeout_s: Seconds = 10.0
    advertised_peer_url: str | None = None
    # Of all callers, operators and peers together.
    max_client_bytes: Annotated[int, Field(ge=4_000_000)] = 32 * 1024 * 1024
    max_client_connections: Annotated[int, Field(ge=10)] = 1_000


def load_settings(path: Path) -> HostSettings:
    """Load settings from a file; raise SettingsError listing all validation errors."""
    try:
        tables = tomllib.loads(path.read_text())
        return HostSettings.model_validate(tables)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path.name}: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path.name}: {'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error
