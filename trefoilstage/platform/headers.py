"""Decode callers' requests and targets' answers from headers, and encode them."""

from collections.abc import Iterable, Mapping
from typing import Final

from trefoilstage.components.forwarding.models import (
    CallerRequest,
    PromptPart,
    TargetEntry,
)
from trefoilstage.components.forwarding.translator import (
    AnswerHead,
    ForwardOptions,
    MalformedRequestError,
)

MS_PER_S = 1000

ATTEMPT_ID: Final = "Attempt-Id"  # the caller's id of this one send
DEADLINE: Final = "Deadline-Ms"  # what is left at the moment of sending
KEY: Final = "Key"
TENANT: Final = "Tenant"  # the workspace that holds the key
TOKEN_COUNT: Final = "Token-Count"  # prompt tokens, most output tokens
PROMPT_PREFIX: Final = "Prompt-Prefix"
EXPECT_INSTANCE: Final = "Expect-Instance"
URGENCY: Final = "Request-Urgency"  # 0 goes first
RESUME_AFTER: Final = "Last-Event-Id"
SEAL: Final = "Response-Seal"  # a target's signature of its answer
NOT_EXECUTED: Final = "Not-Executed"
MISDIRECTED: Final = 421
# Ids seen have 16 characters. Messages between hosts hold names of up to 300.
MAX_ID_LENGTH: Final = 128

# They concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Ours to set. Passed on as the caller sent them, they would bill another
# workspace, reserve memory or continue another request's run.
OWN_HEADERS = frozenset(
    {
        "key",
        "tenant",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "expect-instance",
        "expect-version",
        "request-urgency",
        "deadline-ms",
    }
)


class HeaderTranslator:
    """Translate between the platform's headers and the pipeline's types."""

    def read_request(
        self, *, method: str, raw_target: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Return a caller's request, or raise MalformedRequestError."""
        pairs = list(headers)
        values = {name.lower(): value for name, value in pairs}
        prompt_tokens, output_tokens = read_token_count(values.get("token-count"))
        path, _, _ = raw_target.partition("?")
        request_id = values.get("attempt-id", "")
        if len(request_id) > MAX_ID_LENGTH:
            raise MalformedRequestError("the request's id is too long")
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=values.get("host", "").partition(":")[0].lower(),
            path=path,
            raw_target=raw_target,
            key=values.get("key", ""),
            deadline_s=read_deadline(values.get("deadline-ms")),
            n_prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            prompt=read_prompt(values.get("prompt-prefix")),
            headers=tuple(keep_end_to_end(pairs, OWN_HEADERS)),
        )

    def write_request(
        self, request: CallerRequest, target: TargetEntry, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target."""
        headers = [
            item
            for item in request.headers
            if options.resume_after is None or item[0].lower() != RESUME_AFTER.lower()
        ]
        headers.append((EXPECT_INSTANCE, target.name))
        if options.deadline_s is not None:
            left_ms = max(1, int(options.deadline_s * MS_PER_S))
            headers.append((DEADLINE, str(left_ms)))
        if options.workspace:
            headers.append((TENANT, options.workspace))
        if options.urgency is not None:
            headers.append((URGENCY, str(options.urgency)))
        if options.resume_after is not None:
            headers.append((RESUME_AFTER, str(options.resume_after)))
        return headers

    def read_answer(
        self, request: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Return what an answer's head says."""
        refused = NOT_EXECUTED in headers or status == MISDIRECTED
        return AnswerHead(
            status=status,
            not_run=refused,
            misdirected=status == MISDIRECTED,
            has_seal=SEAL in headers,
            # An answer to another request may arrive late on a connection.
            has_request_id=ATTEMPT_ID in headers,
            matches_request=headers.get(ATTEMPT_ID) == request.request_id,
            is_encoded="Content-Encoding" in headers,
            closing=headers.get("Connection", "").lower() == "close",
        )

    def write_answer(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that go on to the caller."""
        return list(keep_end_to_end(headers, frozenset()))

    def write_refusal(self, request: CallerRequest | None) -> list[tuple[str, str]]:
        """Return the headers that name the request in an answer of our own."""
        return (
            [(ATTEMPT_ID, request.request_id)] if request and request.request_id else []
        )


def keep_end_to_end(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Return the headers that do not concern one connection, less some."""
    pairs = list(headers)
    named = {
        item.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for item in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in CONNECTION_HEADERS
        and name.lower() not in dropped
        and name.lower() not in named
    ]


def read_token_count(text: str | None) -> tuple[int, int]:
    """Return the prompt's tokens and the most output tokens."""
    if text is None:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        counts = int(prompt), int(output or 0)
    except ValueError as error:
        raise MalformedRequestError("token counts are not whole numbers") from error
    if min(counts) < 0:
        raise MalformedRequestError("token counts are negative")
    return counts


def read_deadline(text: str | None) -> float | None:
    """Return the seconds that the caller waits, None if it did not say."""
    if text is None:
        return None
    try:
        return max(0, int(text)) / MS_PER_S
    except ValueError as error:
        raise MalformedRequestError("the deadline is not a whole number") from error


def read_prompt(text: str | None) -> tuple[PromptPart, ...]:
    """Return a prompt's parts in order; what can't be read is left out."""
    parts: list[PromptPart] = []
    for item in (text or "").split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name=name, n_tokens=int(tokens)))
    return tuple(parts)
