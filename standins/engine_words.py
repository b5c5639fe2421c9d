"""Tokens and chunks of an engine stand-in's answers."""

import hashlib
import json

from standins.engine_meter import ExecutedRequest

WORDS = ("wind", "line", "tide", "sand", "kite", "court", "hour", "field", "north")


def make_token(request: str, number: int) -> str:
    """Return the token at a position in a request's answer."""
    seed = hashlib.sha256(f"{request}/{number}".encode()).digest()
    return WORDS[seed[0] % len(WORDS)] + " "


def make_chunk(
    executed: ExecutedRequest, number: int, text: str, *, is_last: bool
) -> bytes:
    """Return one chunk of the event stream."""
    chunk: dict[str, object] = {
        "id": executed.request,
        "object": "chat.completion.chunk",
        "sequence": number,
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if is_last else None,
            }
        ],
    }
    if is_last:
        chunk["usage"] = {
            "prompt_tokens": executed.prompt_tokens,
            "completion_tokens": executed.completion_tokens,
            "cached_tokens": executed.cached_tokens,
        }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
