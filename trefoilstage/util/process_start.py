"""Tell when this process started, by a clock that outlives processes."""

import time
from dataclasses import dataclass
from pathlib import Path

# Linux draws it anew at each start of the machine, as its steady clock begins anew.
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessStart:
    """Hold a moment of the machine's steady clock and the boot that it counts from."""

    boot: str  # empty if the machine does not tell
    at: float  # seconds of the steady clock
    offset: float  # seconds from the steady clock to the time of day


def read_process_start() -> ProcessStart:
    """Return the present moment; called first of all by a process."""
    try:
        boot = BOOT_ID.read_text().strip()
    except OSError:
        # Without it a clock that began anew can't be told from one that went on.
        boot = ""
    now = time.monotonic()
    return ProcessStart(boot=boot, at=now, offset=time.time() - now)
