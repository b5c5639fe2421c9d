"""Describe a fault in a file."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Describe one fault with the file, line and key where it was found."""

    file: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.message}"
