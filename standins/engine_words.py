"""Make the tokens and chunks of an engine stand-in's answers."""

import hashlib
import json

from standins.engine_meter import ExecutedRequest

WORDS = ("wind", "line", "tide", "sand", "kite", "court", "hour", "field", "north")


def make_word(request: str, number: int) -> str:
    """Return the token at a place of a request's answer."""
    seed = hashlib.sha256(f"{request}/{number}".encode()).digest()
    return WORDS[seed[0] % len(WORDS)] + " "


def make_event(done: ExecutedRequest, number: int, text: str, *, last: bool) -> bytes:
    """Return one chunk of the event stream."""
    chunk: dict[str, object] = {
        "id": done.request,
        "object": "chat.completion.chunk",
        "sequence": number,
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        chunk["usage"] = {
            "prompt_tokens": done.prompt_tokens,
            "completion_tokens": done.completion_tokens,
            "cached_tokens": done.cached_tokens,
        }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
