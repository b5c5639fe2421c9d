"""Derive what clients may hold from what a process may use; pure."""

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
# Of the process's memory: for heads, bodies and answers.
DATA_SHARE = 0.25
# Of the process's memory: for connections by themselves.
CONNECTIONS_SHARE = 0.125
# A connection's objects, with those of the HTTP library.
CONNECTION_BYTES = 10_000
# The platform reserves these for files.
N_RESERVED_DESCRIPTORS = 200
# Of the other descriptors; targets, peers and the store need the rest.
CLIENT_DESCRIPTORS_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Describe what all clients of a process together may hold."""

    max_bytes: int
    max_connections: int


def plan_client_limits(memory_mb: float, max_descriptors: int) -> ClientLimits:
    """Return the limits of a process with some memory, in MB, and descriptors."""
    memory_bytes = memory_mb * BYTES_PER_MB
    n_fitting = int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES)
    n_descriptors = max(0, max_descriptors - N_RESERVED_DESCRIPTORS)
    n_allowed = int(CLIENT_DESCRIPTORS_SHARE * n_descriptors)
    return ClientLimits(
        max_bytes=int(DATA_SHARE * memory_bytes),
        max_connections=max(1, min(n_fitting, n_allowed)),
    )
