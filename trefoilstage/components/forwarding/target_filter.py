"""Describe which targets may get a request."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamVersion:
    """Identify the software that began a stream: only the same one can continue it."""

    service: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetFilter:
    """Limit a request to targets of a service, and maybe of regions and a version."""

    service: str
    allowed_regions: frozenset[str] | None = None  # None if all are allowed
    version: str | None = None  # of the targets' software; None if any will do
