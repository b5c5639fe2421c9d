"""Test the example configurations and that the documents list every name."""

import re
import tomllib
import types
import typing
import unittest
from collections.abc import Iterator
from enum import StrEnum
from typing import Any

from pydantic import BaseModel

from tests.common import ROOT, read_first_column
from tests.test_cli import SUBCOMMANDS
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.configuration.merge import merge_files
from trefoilstage.configuration.records import ConfigRecord
from trefoilstage.configuration.schema import Configuration
from trefoilstage.helpers.events import Event
from trefoilstage.helpers.verdict import Reason
from trefoilstage.ledger.records import LedgerRecord
from trefoilstage.settings import HostSettings, load_settings

EXAMPLES = sorted((ROOT / "examples").iterdir())
SECTIONS_OF_NAMED_ENTRIES: set[tuple[str, ...]] = {
    ("workspaces",),
    ("budgets",),
    ("sites",),
    ("models",),
    ("targets",),
}
SECTIONS_OF_NAMED_ENTRIES |= {("services",), ("services", "operations")}


def list_keys(tables: dict[str, Any], path: tuple[str, ...] = ()) -> Iterator[str]:
    """Yield the dotted keys of tables, leaving out the names of entries."""
    for key, value in tables.items():
        here = (*path, key)
        if not isinstance(value, dict):
            yield ".".join(here)
            continue
        inner = list(value.values()) if here in SECTIONS_OF_NAMED_ENTRIES else [value]
        for table in inner:
            yield from list_keys(table, here)


def list_model_keys(model: type[BaseModel], path: tuple[str, ...]) -> Iterator[str]:
    """Yield the dotted keys that a model and its nested models accept."""
    for name, info in model.model_fields.items():
        found = find_nested_model(info.annotation)
        if path:
            yield ".".join((*path, name))
        if found is not None:
            yield from list_model_keys(found, (*path, name))


def find_nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model class in an annotation, if there is one."""
    for part in (annotation, *typing.get_args(annotation)):
        if isinstance(part, type) and issubclass(part, BaseModel):
            return part
    return None


def list_kinds(union: Any) -> set[str]:
    """Return the `kind` values of a union's members."""
    assert isinstance(union, types.UnionType)
    return {member.__dataclass_fields__["kind"].default for member in union.__args__}


def list_values(names: type[StrEnum]) -> set[str]:
    """Return the values of an enum."""
    return {name.value for name in names}


class ExamplesTest(unittest.TestCase):
    """Test the example configurations of both users."""

    def test_examples_are_valid(self) -> None:
        self.assertEqual([path.name for path in EXAMPLES], ["armor", "lima"])
        sizes = []
        for path in EXAMPLES:
            files = {item.name: item.read_text() for item in path.glob("config/*.toml")}
            result = merge_files(files)
            self.assertEqual(result.findings, ())
            assert result.configuration is not None
            load_settings(path / "host.toml")
            places = {site.data_center for site in result.configuration.sites.values()}
            services = result.configuration.services.values()
            n_servers = sum(len(service.urls) for service in services)
            sizes.append((len(places), len(result.configuration.targets), n_servers))
        self.assertEqual(sizes, [(3, 9, 3), (4, 9, 4)])

    def test_each_prefix_of_the_files_is_valid(self) -> None:
        for path in EXAMPLES:
            files: dict[str, str] = {}
            for item in sorted(path.glob("config/*.toml")):
                files[item.name] = item.read_text()
                self.assertEqual(merge_files(files).findings, (), item)

    def test_keys_of_the_examples_are_documented(self) -> None:
        documented = set(read_first_column("OPERATING.md", "Configuration"))
        settings = set(read_first_column("OPERATING.md", "Settings of a host"))
        for path in EXAMPLES:
            for item in path.glob("config/*.toml"):
                used = set(list_keys(tomllib.loads(item.read_text())))
                self.assertLessEqual(used, documented, item)
            used = set(tomllib.loads((path / "host.toml").read_text()))
            self.assertLessEqual(used, settings, path)


class DocumentsTest(unittest.TestCase):
    """Test that the documents' tables match the program."""

    def test_operating_page_names_everything(self) -> None:
        lists = {
            "Settings of a host": set(HostSettings.model_fields),
            "Configuration": set(list_model_keys(Configuration, ())),
            "Refusals and rejections": list_values(Reason),
            "Events": list_values(Event),
            "The command line": {
                f"trefoilstage {subcommand}" for subcommand in SUBCOMMANDS
            },
        }
        for heading, names in lists.items():
            documented = read_first_column("OPERATING.md", heading)
            with self.subTest(heading):
                self.assertEqual(names, set(documented))
                self.assertEqual(len(documented), len(set(documented)))

    def test_protocol_page_names_every_kind(self) -> None:
        lists = {
            "Records of the configuration stream": list_kinds(ConfigRecord),
            "Records of a ledger stream": list_kinds(LedgerRecord),
            "Messages between hosts": list_kinds(PeerMessage),
        }
        for heading, kinds in lists.items():
            documented = set(read_first_column("PROTOCOL.md", heading))
            with self.subTest(heading):
                self.assertEqual(kinds, documented)

    def test_link_targets_exist(self) -> None:
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            for link in re.findall(r"\]\(([^)#:]+)[^):]*\)", page.read_text()):
                self.assertTrue((page.parent / link).exists(), f"{page}: {link}")
