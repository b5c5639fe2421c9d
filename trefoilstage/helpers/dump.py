"""Turn a process's state into a readable dump in a stable order."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import Any

from mode import Service
from pydantic import BaseModel

# Keys would let a reader of a dump call in a workspace's name, and bodies are
# the callers' own. Neither helps to tell what a process does.
HIDDEN_FIELDS = frozenset(
    {
        "key_sha256",
        "key",
        "workspaces_by_key",
        "content",
        "body",
        "data",
        "text",
        "chunks",
        "closing",
    }
)

SERVICE_FIELDS = frozenset(vars(Service()))
DATA_TYPES = (str, int, float, bool, Mapping, Sequence, set, frozenset)

GetState = Callable[[], object]
Unregister = Callable[[], None]


class StateRegistry:
    """Hold where each part's state is found."""

    def __init__(self) -> None:
        self._parts: dict[str, GetState] = {}

    def register(self, name: str, get_state: GetState) -> Unregister:
        """Add a part under a name until the returned function is called."""
        self._parts[name] = get_state

        def unregister() -> None:
            self._parts.pop(name, None)

        return unregister

    def dump(self) -> dict[str, Any]:
        """Return the state of every part by name."""
        return {name: dump_value(self._parts[name]()) for name in sorted(self._parts)}


def dump_part(part: object) -> dict[str, Any]:
    """Return the data that a part keeps itself, but not the parts it works with."""
    return {
        name.lstrip("_"): dump_value(value)
        for name, value in sorted(vars(part).items())
        if name not in SERVICE_FIELDS and isinstance(value, DATA_TYPES)
    }


def dump_value(value: object) -> Any:
    """Return a JSON form of a value; keys and bodies are left out."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, str | int | float | bool) or value is None:
        return value
    if isinstance(value, bytes | bytearray):
        return f"{len(value)} bytes"
    if isinstance(value, BaseModel):
        return dump_fields(value, type(value).model_fields)
    if dataclasses.is_dataclass(value):
        return dump_fields(value, [item.name for item in dataclasses.fields(value)])
    return dump_collection(value)


def dump_fields(value: object, names: Iterable[str]) -> dict[str, Any]:
    """Return the named fields of a value but the hidden ones."""
    return {
        name: dump_value(getattr(value, name))
        for name in names
        if name not in HIDDEN_FIELDS
    }


def dump_collection(value: object) -> Any:
    """Return a collection in a stable order; the type's name for anything else."""
    if isinstance(value, Mapping):
        pairs = {format_key(key): dump_value(item) for key, item in value.items()}
        return {key: pairs[key] for key in sorted(pairs)}
    if isinstance(value, set | frozenset):
        return sorted((dump_value(item) for item in value), key=str)
    if isinstance(value, Sequence):
        return [dump_value(item) for item in value]
    return f"<{type(value).__name__}>"


def format_key(key: object) -> str:
    """Return a mapping's key as text."""
    return str(key.value) if isinstance(key, Enum) else str(key)
