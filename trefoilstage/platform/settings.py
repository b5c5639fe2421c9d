"""Load the settings that the platform passes to a process."""

import os
from pathlib import Path

from pydantic import ValidationError

from trefoilstage.exceptions import SettingsError
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.platform.settings_file import parse_lines

MS_PER_S = 1000.0
ZONE_PREFIX = "zones."
# Of the smallest machines.
DEFAULT_MEMORY_MB = "88"
DEFAULT_DESCRIPTORS = "4100"
# Targets under this contract crash when their requests exceed their memory.
PRESSURE_CONTRACT = "pressure"
# Set by deploy/system.toml, which also configures where the platform reads metrics. The
# platform assigns all other ports. If it is not set, the kernel assigns the metrics
# port, and the host logs it.
METRICS_PORT_VARIABLE = "TREFOILSTAGE_METRICS_PORT"


def load_platform_settings(path: Path) -> FleetSettings:
    """Load a file of key=value lines; raise SettingsError with every finding."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f"{path.name}: {error}") from error
    fields = dict(parse_lines(text))
    try:
        return FleetSettings.model_validate(decode_fields(fields))
    except (KeyError, ValueError) as error:
        raise SettingsError(describe_findings(path.name, error)) from error


def decode_fields(fields: dict[str, str]) -> dict[str, object]:
    """Return the settings under the names of FleetSettings, not yet validated."""
    caller_address, _, caller_port = fields["listen.front"].rpartition(":")
    _, _, ready_port = fields["listen.ready"].rpartition(":")
    first_port, _, _ = fields["internal_ports"].partition(",")
    return {
        "host": fields["node_name"],
        "data_center": fields["zone"],
        "regions": {
            key.removeprefix(ZONE_PREFIX): region
            for key, region in fields.items()
            if key.startswith(ZONE_PREFIX)
        },
        "address": caller_address,
        "caller_port": caller_port,
        "ready_port": ready_port,
        "peer_port": first_port,
        "metrics_port": os.environ.get(METRICS_PORT_VARIABLE, "0"),
        "store_url": f"http://{fields['platform.address']}",
        "store_partitions": fields.get("platform.parts", "1"),
        # The platform uses milliseconds, FleetSettings seconds.
        "target_drain_s": read_ms_as_s(fields, "bounds.drain_ms", 2000),
        "shutdown_grace_s": fields.get("bounds.grace_s", "8"),
        "retry_ratio": fields.get("bounds.retry_budget_ratio", "0.2"),
        "retry_slack": fields.get("bounds.retry_budget_slack", "50"),
        "retry_window_s": fields.get("bounds.budget_window_s", "10"),
        "cold_rate_factor": fields.get("bounds.cold_over"),
        "cold_rate_slack": fields.get("bounds.cold_slack"),
        "memory_mb": fields.get("limits.memory_mb", DEFAULT_MEMORY_MB),
        "max_descriptors": fields.get("limits.max_fds", DEFAULT_DESCRIPTORS),
        "has_admission_queue": PRESSURE_CONTRACT in read_names(fields, "contracts"),
    }


def read_names(fields: dict[str, str], name: str) -> list[str]:
    """Return the names in a comma-joined field, an empty list without it."""
    return [item.strip() for item in fields.get(name, "").split(",")]


def read_ms_as_s(fields: dict[str, str], name: str, default_ms: float) -> float:
    """Return a field that is given in milliseconds, in seconds."""
    return float(fields.get(name, default_ms)) / MS_PER_S


def describe_findings(file: str, error: KeyError | ValueError) -> str:
    """Return the findings, one per line."""
    if isinstance(error, ValidationError):
        return "\n".join(
            f"{file}: {'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        )
    if isinstance(error, KeyError):
        return f"{file}: {error.args[0]}: is missing"
    return f"{file}: {error}"
