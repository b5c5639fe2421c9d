"""Hold the calls and answers of plain services."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """Describe a caller's call of a plain service."""

    service: str
    operation: str
    method: str
    has_key: bool
    body: bytes

    @property
    def name(self) -> str:
        """Return the service and its operation as one word."""
        return f"{self.service}/{self.operation}"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """Hold a plain service's answer."""

    status: int
    body: bytes
    content_type: str
