"""Identify callers by their bearer keys and read their request headers."""

import uuid

from aiohttp import web

from trefoilstage.components.callers.models import Caller
from trefoilstage.configuration.schema import MAX_PRIORITY, Configuration
from trefoilstage.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
)
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.util.hashing import hash_idempotency_key, hash_secret

BEARER_PREFIX = "Bearer "
MAX_IDEMPOTENCY_KEY_LENGTH = 200
MAX_INTEGER_DIGITS = 9
DEFAULT_DEADLINE_S = 60.0
MIN_DEADLINE_S = 0.01
MAX_DEADLINE_S = 600.0
MS_PER_S = 1000


class CallerIdentifier:
    """Identify callers by an index of the bearer keys in the current configuration."""

    def __init__(self) -> None:
        self._indexed_configuration: Configuration | None = None
        self._workspaces_by_digest: dict[str, str] = {}

    def identify(
        self, request: web.Request, configuration: Configuration
    ) -> Caller | Refusal:
        """Return the caller, or a refusal if a header is missing or invalid."""
        name = self._find_workspace(request, configuration)
        if isinstance(name, Refusal):
            return name
        workspace = configuration.workspaces[name]
        request_id = uuid.uuid4().hex
        key = read_idempotency_key(request)
        if isinstance(key, Refusal):
            return key
        priority = read_integer(request, HEADER_PRIORITY, workspace.priority)
        if isinstance(priority, Refusal):
            return priority
        deadline_s = read_deadline(request)
        if isinstance(deadline_s, Refusal):
            return deadline_s
        return Caller(
            workspace=name,
            budget=workspace.budget,
            # A request may lower its workspace's priority but not raise it.
            priority=min(priority, workspace.priority, MAX_PRIORITY),
            request=request_id,
            has_key=bool(key),
            key=hash_idempotency_key(name, key or request_id),
            deadline_s=deadline_s,
        )

    def _find_workspace(
        self, request: web.Request, configuration: Configuration
    ) -> str | Refusal:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER_PREFIX) or not header.isascii():
            return Refusal(
                reason=Reason.UNAUTHORIZED,
                detail="the Authorization header has no valid bearer key",
            )
        if self._indexed_configuration is not configuration:
            self._build_index(configuration)
        digest = hash_secret(header.removeprefix(BEARER_PREFIX).strip())
        name = self._workspaces_by_digest.get(digest)
        if name is None:
            return Refusal(
                reason=Reason.UNAUTHORIZED,
                detail="the bearer key belongs to no workspace",
            )
        return name

    def _build_index(self, configuration: Configuration) -> None:
        self._workspaces_by_digest = {
            digest: name
            for name, workspace in configuration.workspaces.items()
            for digest in workspace.key_sha256
        }
        self._indexed_configuration = configuration


def read_idempotency_key(request: web.Request) -> str | Refusal:
    """Return the idempotency key, "" if none was sent, or a refusal if invalid."""
    keys = request.headers.getall(HEADER_IDEMPOTENCY_KEY, [])
    if not keys:
        return ""
    key = keys[0].strip()
    is_plain = (
        key.isascii()
        and key.isprintable()
        and 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH
    )
    if len(keys) > 1 or not is_plain:
        detail = (
            f"{HEADER_IDEMPOTENCY_KEY} must be one value of 1 to "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII characters"
        )
        return Refusal(reason=Reason.BAD_REQUEST, detail=detail)
    return key


def read_deadline(request: web.Request) -> float | Refusal:
    """Return the time until the caller's deadline in seconds, or a refusal."""
    default_ms = int(DEFAULT_DEADLINE_S * MS_PER_S)
    deadline_ms = read_integer(request, HEADER_DEADLINE_MS, default_ms)
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    deadline_s = min(deadline_ms / MS_PER_S, MAX_DEADLINE_S)
    if deadline_s < MIN_DEADLINE_S:
        return Refusal(
            reason=Reason.DEADLINE, detail="the deadline is too short for any answer"
        )
    return deadline_s


def read_integer(request: web.Request, header: str, default: int) -> int | Refusal:
    """Return a header's integer, the default if it is missing, or a refusal."""
    text = request.headers.get(header)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > MAX_INTEGER_DIGITS:
        return Refusal(
            reason=Reason.BAD_REQUEST, detail=f"{header} is not a valid integer"
        )
    return int(text)
