"""Translate between HTTP headers and the pipeline's requests and answers."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

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
from trefoilstage.const import HEADER_RETRY_AFTER
from trefoilstage.helpers.events import Event, log_event, truncate_text
from trefoilstage.helpers.http import parse_amount
from trefoilstage.platform.configuration import describe_locations

MS_PER_S = 1000

HEADER_ATTEMPT_ID: Final = "Attempt-Id"  # chosen by the caller for each attempt
HEADER_DEADLINE: Final = "Deadline-Ms"  # time remaining when the request is sent
HEADER_KEY: Final = "Key"
HEADER_TENANT: Final = "Tenant"  # the workspace that owns the key
HEADER_TOKEN_COUNT: Final = "Token-Count"  # prompt tokens, maximum output tokens
HEADER_LENGTH_HINT: Final = "Length-Hint"  # the caller's estimate of output tokens
HEADER_PROMPT_PREFIX: Final = "Prompt-Prefix"
HEADER_MODEL: Final = "Model"
HEADER_HOST: Final = "Host"
HEADER_EXPECT_INSTANCE: Final = "Expect-Instance"
HEADER_URGENCY: Final = "Request-Urgency"  # 0 is the most urgent
HEADER_KV_FETCH: Final = "Kv-Fetch"  # address of the engine to fetch KV cache from
HEADER_LAST_EVENT_ID: Final = "Last-Event-Id"
HEADER_RESUMES: Final = "Resumes"  # Attempt-Id that brought the first event
HEADER_SEAL: Final = "Response-Seal"  # a target's signature of its answer
HEADER_NOT_EXECUTED: Final = "Not-Executed"
HEADER_LEAVING: Final = "Server-Leaving"
HEADER_BRITTLE: Final = "Server-Brittle"  # falls over above these refusals a second
HEADER_LIMIT: Final = "Server-Limit"  # requests a second, from all hosts together
# Headers of a request that this host goes by, and a target too.
SINGLE_HEADERS: Final = (
    HEADER_ATTEMPT_ID,
    HEADER_LAST_EVENT_ID,
    HEADER_RESUMES,
    HEADER_TOKEN_COUNT,
    HEADER_PROMPT_PREFIX,
    HEADER_MODEL,
    HEADER_HOST,
    HEADER_DEADLINE,
    HEADER_KEY,
)
HTTP_MISDIRECTED: Final = 421
HTTP_UNAVAILABLE: Final = 503
# Ids seen from callers have 16 characters. Messages between hosts allow names of up to
# 300.
MAX_REQUEST_ID_LENGTH: Final = 128
# Far above the output of any model.
MAX_HINT_DIGITS: Final = 9

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that only this system sets. If a caller's values were forwarded, they could
# bill another workspace, reserve memory or continue another request's run.
RESERVED_HEADERS = frozenset(
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


class WireReport(BaseModel):
    """Describe what a target reports on itself, as far as it is used here."""

    model_config = ConfigDict(strict=True)

    born: Annotated[int, Field(ge=0)] | None = None


class HeaderTranslator:
    """Translate between the platform's messages and the pipeline's types."""

    report_path = "/trefoilstage/report"

    def read_report(self, data: bytes) -> int | None:
        """Return when a target started, in Unix ms; None if its report doesn't say."""
        try:
            return WireReport.model_validate_json(data).born
        except ValidationError as error:
            log_event(Event.REPORT_MALFORMED, error=describe_locations(error))
            return None

    def read_request(
        self, *, method: str, raw_target: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Decode a caller's request; raise MalformedRequestError if it is invalid."""
        pairs = list(headers)
        values = {name.lower(): value for name, value in pairs}
        if len(values) < len(pairs):
            check_repeated_headers(pairs)
        n_prompt_tokens, max_output_tokens = parse_token_count(
            values.get("token-count")
        )
        path, _, _ = raw_target.partition("?")
        request_id = read_id(values, HEADER_ATTEMPT_ID)
        resumes = read_id(values, HEADER_RESUMES)
        last_event_id = read_id(values, HEADER_LAST_EVENT_ID)
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=values.get("host", "").partition(":")[0].lower(),
            path=path,
            raw_target=raw_target,
            key=values.get("key", ""),
            deadline_s=parse_deadline(values.get("deadline-ms")),
            n_prompt_tokens=n_prompt_tokens,
            max_output_tokens=max_output_tokens,
            prompt=parse_prompt_prefix(values.get("prompt-prefix")),
            headers=tuple(select_end_to_end(pairs, RESERVED_HEADERS)),
            resumes=resumes,
            last_event_id=last_event_id,
            length_hint=parse_length_hint(values.get("length-hint")),
        )

    def write_request(
        self, request: CallerRequest, target: TargetEntry, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a request that is forwarded to a target."""
        headers = [
            item
            for item in request.headers
            if options.resume_after is None
            or item[0].lower() != HEADER_LAST_EVENT_ID.lower()
        ]
        headers.append((HEADER_EXPECT_INSTANCE, target.name))
        if options.deadline_s is not None:
            remaining_ms = max(1, int(options.deadline_s * MS_PER_S))
            headers.append((HEADER_DEADLINE, str(remaining_ms)))
        if options.workspace:
            headers.append((HEADER_TENANT, options.workspace))
        if options.urgency is not None:
            headers.append((HEADER_URGENCY, str(options.urgency)))
        if options.resume_after is not None:
            headers.append((HEADER_LAST_EVENT_ID, str(options.resume_after)))
        if options.fetch_from:
            headers.append((HEADER_KV_FETCH, options.fetch_from))
        return headers

    def read_answer(
        self, request: CallerRequest, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Decode the status and headers of a target's answer."""
        not_run = HEADER_NOT_EXECUTED in headers or status == HTTP_MISDIRECTED
        return AnswerHead(
            status=status,
            not_run=not_run,
            misdirected=status == HTTP_MISDIRECTED,
            has_seal=HEADER_SEAL in headers,
            # A late answer to an earlier request may arrive on a reused connection.
            has_request_id=HEADER_ATTEMPT_ID in headers,
            matches_request=headers.get(HEADER_ATTEMPT_ID) == request.request_id,
            is_encoded="Content-Encoding" in headers,
            closing=headers.get("Connection", "").lower() == "close",
            limit_per_s=read_amount(headers, HEADER_LIMIT),
            rest_s=read_amount(headers, HEADER_RETRY_AFTER)
            if status == HTTP_UNAVAILABLE
            else None,
            max_refusals_per_s=read_amount(headers, HEADER_BRITTLE),
            leaving=headers.get(HEADER_LEAVING) == "1",
        )

    def write_answer(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that are forwarded to the caller."""
        return list(select_end_to_end(headers, frozenset()))

    def write_refusal(self, request: CallerRequest | None) -> list[tuple[str, str]]:
        """Return the headers that identify the request in an answer by this host."""
        return (
            [(HEADER_ATTEMPT_ID, request.request_id)]
            if request and request.request_id
            else []
        )


def check_repeated_headers(pairs: Iterable[tuple[str, str]]) -> None:
    """Raise MalformedRequestError if a caller sent different values of a header.

    A target that gets all of them may go by another one than this host.
    """
    received = {(name.lower(), value) for name, value in pairs}
    n_values = Counter(name for name, _ in received)
    for name in SINGLE_HEADERS:
        if n_values[name.lower()] > 1:
            raise MalformedRequestError(f"the {name} header has several values")


def read_id(values: Mapping[str, str], name: str) -> str:
    """Return an id that a caller sent, empty if there is none.

    `values` has lower-case names. Raises MalformedRequestError if the id is too long.
    """
    value = values.get(name.lower(), "")
    if len(value) > MAX_REQUEST_ID_LENGTH:
        raise MalformedRequestError(f"the {name} header is too long")
    return value


def select_end_to_end(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Return the headers without hop-by-hop and excluded ones."""
    pairs = list(headers)
    connection_options = {
        item.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for item in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in excluded
        and name.lower() not in connection_options
    ]


def parse_token_count(text: str | None) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum of output tokens."""
    if text is None:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        counts = int(prompt), int(output or 0)
    except ValueError as error:
        raise MalformedRequestError("Token-Count header: not whole numbers") from error
    if min(counts) < 0:
        raise MalformedRequestError("Token-Count header: a count is negative")
    return counts


def parse_length_hint(text: str | None) -> int | None:
    """Return the caller's estimate of output tokens, None without a valid one."""
    if text is None:
        return None
    if text.isascii() and text.isdigit() and len(text) <= MAX_HINT_DIGITS:
        return int(text)
    log_event(
        Event.HEADER_MALFORMED, header=HEADER_LENGTH_HINT, value=truncate_text(text)
    )
    return None


def parse_deadline(text: str | None) -> float | None:
    """Return the caller's deadline in seconds from now, or None without one."""
    if text is None:
        return None
    try:
        return max(0, int(text)) / MS_PER_S
    except ValueError as error:
        raise MalformedRequestError("Deadline-Ms header: not a whole number") from error


def read_amount(headers: Mapping[str, str], name: str) -> float | None:
    """Return the decimal number in a target's header, None if it has no valid one."""
    text = headers.get(name)
    if text is None:
        return None
    amount = parse_amount(text)
    if amount is None:
        log_event(Event.HEADER_MALFORMED, header=name, value=truncate_text(text))
    return amount


def parse_prompt_prefix(text: str | None) -> tuple[PromptPart, ...]:
    """Return a prompt's parts in order, without malformed ones."""
    parts: list[PromptPart] = []
    for item in (text or "").split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name=name, n_tokens=int(tokens)))
    return tuple(parts)
