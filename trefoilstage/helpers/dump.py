"""Dump the state of a process as JSON in a stable order."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import Any

from mode import Service
from pydantic import BaseModel

# With a key, a reader of a dump could make calls as that workspace. Bodies are private
# to the callers. Neither is needed to diagnose a process.
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

MODE_SERVICE_FIELDS = frozenset(vars(Service()))
DUMPED_TYPES = (str, int, float, bool, Mapping, Sequence, set, frozenset)

GetState = Callable[[], object]
Unregister = Callable[[], None]


class StateRegistry:
    """Register a function per component that returns its state."""

    def __init__(self) -> None:
        self._state_getters: dict[str, GetState] = {}

    def register(self, name: str, get_state: GetState) -> Unregister:
        """Register a component's state; the returned function unregisters it."""
        self._state_getters[name] = get_state

        def unregister() -> None:
            self._state_getters.pop(name, None)

        return unregister

    def dump(self) -> dict[str, Any]:
        """Return the state of each registered component by name."""
        return {
            name: dump_value(self._state_getters[name]())
            for name in sorted(self._state_getters)
        }


def dump_component(component: object) -> dict[str, Any]:
    """Return a component's own data attributes, without the objects that it uses."""
    return {
        name.lstrip("_"): dump_value(value)
        for name, value in sorted(vars(component).items())
        if name not in MODE_SERVICE_FIELDS and isinstance(value, DUMPED_TYPES)
    }


def dump_value(value: object) -> Any:
    """Return a JSON-compatible form of a value, without keys and bodies."""
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
    """Return the named fields of a value, except hidden ones."""
    return {
        name: dump_value(getattr(value, name))
        for name in names
        if name not in HIDDEN_FIELDS
    }


def dump_collection(value: object) -> Any:
    """Return a collection in a stable order, or the type name of any other value."""
    if isinstance(value, Mapping):
        pairs = {
            format_mapping_key(key): dump_value(item) for key, item in value.items()
        }
        return {key: pairs[key] for key in sorted(pairs)}
    if isinstance(value, set | frozenset):
        return sorted((dump_value(item) for item in value), key=str)
    if isinstance(value, Sequence):
        return [dump_value(item) for item in value]
    return f"<{type(value).__name__}>"


def format_mapping_key(key: object) -> str:
    """Return a mapping's key as text."""
    return str(key.value) if isinstance(key, Enum) else str(key)
