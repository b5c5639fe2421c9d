"""Turn a process's state into a readable dump in a stable order."""

import dataclasses
from collections.abc import Mapping
from enum import Enum
from typing import Any

from pydantic import BaseModel

HIDDEN_FIELDS = frozenset({"key_sha256", "closing", "content", "body"})


def dump_value(value: object) -> Any:
    """Return a JSON form of a value; keys and bodies are left out."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, BaseModel):
        names = type(value).model_fields
        return {
            name: dump_value(getattr(value, name))
            for name in names
            if name not in HIDDEN_FIELDS
        }
    if dataclasses.is_dataclass(value):
        return {
            item.name: dump_value(getattr(value, item.name))
            for item in dataclasses.fields(value)
            if item.name not in HIDDEN_FIELDS
        }
    if isinstance(value, Mapping):
        return {str(key): dump_value(value[key]) for key in sorted(value, key=str)}
    if isinstance(value, list | tuple):
        return [dump_value(item) for item in value]
    if isinstance(value, str | int | float | bool) or value is None:
        return value
    return repr(type(value).__name__)
