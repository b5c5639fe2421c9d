"""Record when this process started, on a clock that all processes share."""

import time
from dataclasses import dataclass
from pathlib import Path

# Linux generates a new boot ID, and restarts the monotonic clock, at each boot.
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessStart:
    """Represent a process start on the monotonic clock of one boot of the machine."""

    boot: str  # boot ID; empty if it could not be read
    monotonic_s: float  # monotonic clock, in seconds
    offset: float  # wall clock minus monotonic clock, in seconds


def read_process_start() -> ProcessStart:
    """Return the current time as the process start; call it first in a process."""
    try:
        boot = BOOT_ID_PATH.read_text().strip()
    except OSError:
        # Without a boot ID, a reboot can't be detected from the monotonic clock.
        boot = ""
    now = time.monotonic()
    return ProcessStart(boot=boot, monotonic_s=now, offset=time.time() - now)
