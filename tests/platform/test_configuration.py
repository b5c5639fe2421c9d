"""Test the decoding of configurations, entries, settings and records."""

import json
import struct
import tempfile
import unittest
from pathlib import Path

from trefoilstage.components.forwarding.models import RouteKind, TargetPhase
from trefoilstage.components.views.store import StoreUnavailableError
from trefoilstage.exceptions import MalformedMessageError, SettingsError
from trefoilstage.platform.configuration import decode_configuration, decode_target
from trefoilstage.platform.settings import load_platform_settings
from trefoilstage.platform.store import decode_records, encode_record

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "Club.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 15000,
            "target_latency_ms": 800,
            "priority": 1,
            "traffic_split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
            "max_attempts": 1,
            "public": False,
            "resumable": True,
        }
    ],
    "services": [{"name": "x", "engine": {"slots": 64, "stride": 5}}, {"name": "y"}],
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "prepaid": 1000}],
    "limits": {"max_body_bytes": 100, "idle_timeout_ms": 15000},
    "unknown": 1,
}
SETTINGS = """node_name=front-1
zone=brest
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internal_ports=7340,7355
platform.address=10.200.1.7:8223
platform.parts=12
bounds.grace_s=8
something.new=1
"""


class ConfigurationTest(unittest.TestCase):
    """Test what is decoded from the store."""

    def test_configuration_is_decoded(self) -> None:
        """Read routes, services, workspaces and keys; pass over what is new."""
        found = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = found.routes[0]
        self.assertEqual(found.version, 7)
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertTrue(route.is_repeatable)
        self.assertEqual((route.host, route.timeout_s), ("club.example", 15.0))
        self.assertEqual([share.service for share in route.shares], ["x", "y"])
        self.assertEqual(found.workspaces_by_key["k2"].prepaid_tokens, 1000)
        engine = found.services["x"].engine
        self.assertEqual(engine and engine.tokens_per_event, 5)

    def test_unknown_kind_is_never_repeated(self) -> None:
        """Take a kind of route that is not known for one that may run once."""
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["routes"][0]["kind"] = "new"
        route = decode_configuration(json.dumps(changed).encode()).routes[0]
        self.assertIs(route.kind, RouteKind.ONCE)

    def test_bad_bytes_are_malformed(self) -> None:
        """Refuse what is no configuration, naming the place and no value."""
        for data in (b"", b"[]", b"\xff", b'{"version": "x"}'):
            with self.assertRaises(MalformedMessageError):
                decode_configuration(data)
        secret = {**CONFIGURATION, "tenants": [{"name": 5, "api_keys": ["secret"]}]}
        with self.assertRaises(MalformedMessageError) as caught:
            decode_configuration(json.dumps(secret).encode())
        self.assertIn("tenants.0.name", str(caught.exception))
        self.assertNotIn("secret", str(caught.exception))

    def test_entry_is_decoded(self) -> None:
        """Read a target's entry."""
        data = b'{"service":"x","address":"1.2.3.4:5","zone":"z","state":"draining"}'
        entry = decode_target("i-1", data)
        self.assertIs(entry.phase, TargetPhase.DRAINING)
        with self.assertRaises(MalformedMessageError):
            decode_target("i-1", b'{"service":"x"}')


class RecordsTest(unittest.TestCase):
    """Test the framing of records."""

    def test_records_are_read_back(self) -> None:
        """Frame records and read them, a dropped key among them."""
        body = encode_record("a", b"x") + encode_record("b", None)
        listing = decode_records(struct.pack(">QQ", 9, 0) + body, 5)
        found = [(item.key, item.offset, item.value) for item in listing.records]
        self.assertEqual(found, [("a", 5, b"x"), ("b", 6, None)])
        self.assertEqual(listing.end_offset, 7)

    def test_torn_bytes_are_an_outage(self) -> None:
        """Read answers that end too soon; the store counts as unavailable."""
        for data in (b"", b"\0" * 15, struct.pack(">QQ", 9, 0) + b"\0\0"):
            with self.assertRaises(StoreUnavailableError):
                decode_records(data, 0)


class SettingsTest(unittest.TestCase):
    """Test the platform's settings file."""

    def load(self, text: str):  # type: ignore[no-untyped-def]
        """Load settings from a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_text(text)
            return load_platform_settings(path)

    def test_settings_are_decoded(self) -> None:
        """Read the fields that are used, and pass over what is new."""
        settings = self.load(SETTINGS)
        self.assertEqual((settings.host, settings.caller_port), ("front-1", 8227))
        self.assertEqual(settings.store_url, "http://10.200.1.7:8223")
        self.assertEqual(settings.store_partitions, 12)

    def test_findings_name_their_place(self) -> None:
        """Refuse settings with two faults, naming both."""
        with self.assertRaises(SettingsError) as caught:
            self.load(
                SETTINGS.replace("8227", "99999").replace("parts=12", "parts=none")
            )
        self.assertIn("caller_port", str(caught.exception))
        self.assertIn("store_partitions", str(caught.exception))
        with self.assertRaises(SettingsError):
            self.load("zone=brest\n")
