"""Parse the answers that callers receive."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """Represent the whole answer to a caller's request."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> tuple[str, str]:
        """Return a refusal's reason and effect."""
        error = self.json["error"]
        return error["reason"], error["effect"]

    @property
    def text(self) -> str:
        """Return the answer's text, streamed or not."""
        if not self.body.startswith((b"data:", b"event:")):
            return str(self.json["choices"][0]["message"]["content"])
        lines = [line[6:] for line in self.body.split(b"\n") if line[:6] == b"data: "]
        chunks = [json.loads(line) for line in lines if line != b"[DONE]"]
        return "".join(
            chunk["choices"][0]["delta"]["content"]
            for chunk in chunks
            if "choices" in chunk
        )

    @property
    def text_digest(self) -> str:
        """Return the SHA-256 of the text, as engines' meters report it."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    @property
    def stream_error(self) -> dict[str, Any]:
        """Return the error from the event that ends a broken stream."""
        tail = self.body.rsplit(b"event: error\ndata: ", 1)[1]
        return dict(json.loads(tail)["error"])

    @property
    def is_complete_stream(self) -> bool:
        """Return whether an event stream ends with the `[DONE]` marker."""
        return self.body.endswith(b"data: [DONE]\n\n")
