"""Place a fault in a file."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Place one fault in a file, at a line and a key."""

    file: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.message}"
