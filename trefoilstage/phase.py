"""Name the stages of a host's life."""

from enum import StrEnum


class Phase(StrEnum):
    """Name the stages of a host's life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
