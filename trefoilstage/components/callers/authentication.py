"""Tell which workspace a caller's key names."""

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
from trefoilstage.util.hashing import hash_request_key, hash_secret

BEARER_PREFIX = "Bearer "
MAX_KEY_LENGTH = 200
DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_S = 600.0
MS_PER_S = 1000


def identify_caller(
    request: web.Request, configuration: Configuration
) -> Caller | Refusal:
    """Return who calls, or why the headers do not tell."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER_PREFIX):
        return Refusal(reason=Reason.UNAUTHORIZED, detail="bearer key expected")
    digest = hash_secret(header.removeprefix(BEARER_PREFIX).strip())
    name = find_workspace(configuration, digest)
    if name is None:
        return Refusal(reason=Reason.UNAUTHORIZED, detail="key names no workspace")
    workspace = configuration.workspaces[name]
    request_id = uuid.uuid4().hex
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
    if len(key) > MAX_KEY_LENGTH:
        detail = f"{HEADER_IDEMPOTENCY_KEY} is longer than {MAX_KEY_LENGTH}"
        return Refusal(reason=Reason.BAD_REQUEST, detail=detail)
    priority = read_number(request, HEADER_PRIORITY, workspace.priority)
    deadline_ms = read_number(
        request, HEADER_DEADLINE_MS, int(DEFAULT_DEADLINE_S * MS_PER_S)
    )
    if isinstance(priority, Refusal):
        return priority
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    return Caller(
        workspace=name,
        budget=workspace.budget,
        # A request may lower its workspace's priority but never raise it.
        priority=min(priority, workspace.priority, MAX_PRIORITY),
        request=request_id,
        key=hash_request_key(name, key or request_id),
        deadline_s=min(deadline_ms / MS_PER_S, MAX_DEADLINE_S),
    )


def find_workspace(configuration: Configuration, digest: str) -> str | None:
    """Return the workspace that a key's digest names."""
    for name, workspace in configuration.workspaces.items():
        if digest in workspace.key_sha256:
            return name
    return None


def read_number(request: web.Request, header: str, default: int) -> int | Refusal:
    """Return a header's number, its default, or why it is none."""
    text = request.headers.get(header)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return Refusal(reason=Reason.BAD_REQUEST, detail=f"{header} is no number")
    return int(text)
