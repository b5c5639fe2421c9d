"""Define the calls to plain services and their responses."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """Describe a caller's call to an operation of a plain service."""

    service: str
    operation: str
    method: str
    has_key: bool
    body: bytes

    @property
    def qualified_name(self) -> str:
        """Return the service and its operation as "service/operation"."""
        return f"{self.service}/{self.operation}"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceResponse:
    """Describe a plain service's complete response."""

    status: int
    body: bytes
    content_type: str
