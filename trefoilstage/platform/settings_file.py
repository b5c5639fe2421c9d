"""Read the lines of the platform's settings file; loads no other library."""

import os
from pathlib import Path

SETTINGS_PATH_VARIABLE = "TREFOILSTAGE_CONFIG"


def get_settings_path() -> Path:
    """Return the path of the settings file; raise KeyError if it is not set."""
    return Path(os.environ[SETTINGS_PATH_VARIABLE])


def parse_lines(text: str) -> list[tuple[str, str]]:
    """Return the keys and values of a file, ignoring comments and other lines."""
    pairs: list[tuple[str, str]] = []
    for line in text.splitlines():
        key, equals, value = line.partition("=")
        if equals and not line.startswith("#"):
            pairs.append((key.strip(), value.strip()))
    return pairs
