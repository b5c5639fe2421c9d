"""Read the settings that the platform gives a process."""

import os
from pathlib import Path

from pydantic import ValidationError

from trefoilstage.exceptions import SettingsError
from trefoilstage.fleet_settings import FleetSettings

MS_PER_S = 1000.0
# Set by deploy/system.toml, which also tells the platform where to read metrics. The
# platform draws all other ports. Without it the kernel picks one; a line says which.
METRICS_PORT_VARIABLE = "TREFOILSTAGE_METRICS_PORT"


def load_platform_settings(path: Path) -> FleetSettings:
    """Return the settings in a file of key=value lines, or raise all findings."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f"{path.name}: {error}") from error
    fields = dict(parse_lines(text))
    try:
        return FleetSettings.model_validate(decode_fields(fields))
    except (KeyError, ValueError) as error:
        raise SettingsError(describe(path.name, error)) from error


def parse_lines(text: str) -> list[tuple[str, str]]:
    """Return the keys and values of a file; other lines are passed over."""
    pairs: list[tuple[str, str]] = []
    for line in text.splitlines():
        key, equals, value = line.partition("=")
        if equals and not line.startswith("#"):
            pairs.append((key.strip(), value.strip()))
    return pairs


def decode_fields(fields: dict[str, str]) -> dict[str, object]:
    """Return the settings under the product's names, as pydantic checks them."""
    caller_address, _, caller_port = fields["listen.front"].rpartition(":")
    _, _, ready_port = fields["listen.ready"].rpartition(":")
    first_port, _, _ = fields["internal_ports"].partition(",")
    return {
        "host": fields["node_name"],
        "data_center": fields["zone"],
        "address": caller_address,
        "caller_port": caller_port,
        "ready_port": ready_port,
        "peer_port": first_port,
        "metrics_port": os.environ.get(METRICS_PORT_VARIABLE, "0"),
        "store_url": f"http://{fields['platform.address']}",
        "store_partitions": fields.get("platform.parts", "1"),
        # Milliseconds there, seconds here.
        "target_drain_s": read_ms(fields, "bounds.drain_ms", 2000),
        "shutdown_grace_s": fields.get("bounds.grace_s", "8"),
        "retry_ratio": fields.get("bounds.retry_budget_ratio", "0.2"),
        "retry_slack": fields.get("bounds.retry_budget_slack", "50"),
        "retry_window_s": fields.get("bounds.budget_window_s", "10"),
    }


def read_ms(fields: dict[str, str], name: str, default_ms: float) -> float:
    """Return a field of milliseconds in seconds."""
    return float(fields.get(name, default_ms)) / MS_PER_S


def describe(file: str, error: KeyError | ValueError) -> str:
    """Return every finding on a line of its own."""
    if isinstance(error, ValidationError):
        return "\n".join(
            f"{file}: {'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        )
    if isinstance(error, KeyError):
        return f"{file}: {error.args[0]}: is missing"
    return f"{file}: {error}"
