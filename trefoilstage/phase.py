"""Define the life cycle of a host."""

from enum import StrEnum


class Phase(StrEnum):
    """List the phases of a host's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
