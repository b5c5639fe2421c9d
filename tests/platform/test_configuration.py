"""Test the decoding of configurations, target entries, settings and records."""

import json
import struct
import tempfile
import unittest
from pathlib import Path

from trefoilstage.components.forwarding.models import RouteKind, TargetPhase
from trefoilstage.components.views.store import StoreUnavailableError, Topic
from trefoilstage.exceptions import MalformedMessageError, SettingsError
from trefoilstage.platform.configuration import decode_configuration, decode_target
from trefoilstage.platform.settings import load_platform_settings
from trefoilstage.platform.store import (
    decode_item,
    decode_records,
    encode_record,
    validate_items,
)

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

ENTRY = {
    "service": "x",
    "address": "1.2.3.4:5",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


def encode_entry(**fields: object) -> bytes:
    """Return a target's entry with some fields changed or added."""
    entry = {**ENTRY, **fields}
    return json.dumps({k: v for k, v in entry.items() if v is not None}).encode()


class ConfigurationTest(unittest.TestCase):
    """Test the decoding of configurations and target entries."""

    def test_configuration_is_decoded(self) -> None:
        """Decode routes, services, workspaces and keys; ignore unknown fields."""
        configuration = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = configuration.routes[0]
        self.assertEqual(configuration.version, 7)
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertTrue(route.is_retryable)
        self.assertEqual((route.host, route.timeout_s), ("club.example", 15.0))
        self.assertEqual([share.service for share in route.shares], ["x", "y"])
        self.assertEqual(configuration.workspaces_by_key["k2"].prepaid_tokens, 1000)
        engine = configuration.services["x"].engine
        self.assertEqual(engine and engine.tokens_per_event, 5)

    def decode_transfers(self, **fields: object) -> tuple[float, float]:
        """Return the two amounts of the engine with the given fields added."""
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["services"][0]["engine"].update(fields)
        configuration = decode_configuration(json.dumps(changed).encode())
        self.assertEqual(configuration.version, 7)
        engine = configuration.services["x"].engine
        assert engine is not None
        self.assertEqual(engine.slots, 64)
        return engine.kv_bytes_per_token, engine.transfer_bytes_per_s

    def test_transfer_cost_is_decoded(self) -> None:
        transfers = self.decode_transfers(kv_bytes=18432, link_mbps=740000)
        self.assertEqual(transfers, (18_432.0, 92.5e9))
        self.assertEqual(self.decode_transfers(), (0.0, 0.0))

    def test_malformed_transfer_cost_is_treated_as_absent(self) -> None:
        """Guard against a whole configuration refused for an optional number."""
        texts: list[object] = ["18432", "", None, True, [], {"bytes": 1}]
        numbers: list[object] = [0, -5, -0.5, 1e300, 10**400]
        not_finite = [float("nan"), float("inf"), float("-inf")]
        for value in (*texts, *numbers, *not_finite):
            self.assertEqual(
                self.decode_transfers(kv_bytes=value, link_mbps=8), (0.0, 1e6), value
            )
            self.assertEqual(
                self.decode_transfers(kv_bytes=1, link_mbps=value), (1.0, 0.0), value
            )

    def test_unknown_route_kind_is_at_most_once(self) -> None:
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["routes"][0]["kind"] = "new"
        route = decode_configuration(json.dumps(changed).encode()).routes[0]
        self.assertIs(route.kind, RouteKind.ONCE)

    def test_invalid_configuration_is_rejected(self) -> None:
        """Reject invalid configurations; the error names the field, but no value."""
        for data in (b"", b"[]", b"\xff", b'{"version": "x"}'):
            with self.assertRaises(MalformedMessageError):
                decode_configuration(data)
        secret = {**CONFIGURATION, "tenants": [{"name": 5, "api_keys": ["secret"]}]}
        with self.assertRaises(MalformedMessageError) as caught:
            decode_configuration(json.dumps(secret).encode())
        self.assertIn("tenants.0.name", str(caught.exception))
        self.assertNotIn("secret", str(caught.exception))

    def test_allowed_regions_are_decoded(self) -> None:
        """Decode the regions of routes and workspaces; none listed means all."""
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["routes"][0]["allowed_regions"] = ["west"]
        changed["tenants"][0]["allowed_regions"] = ["west", "east"]
        configuration = decode_configuration(json.dumps(changed).encode())
        self.assertEqual(configuration.routes[0].allowed_regions, {"west"})
        workspace = configuration.workspaces_by_key["k1"]
        self.assertEqual(workspace.allowed_regions, {"west", "east"})
        unbound = decode_configuration(json.dumps(CONFIGURATION).encode())
        self.assertEqual(unbound.routes[0].allowed_regions, frozenset())

    def test_entry_is_decoded(self) -> None:
        """Decode a target's entry, and reject an incomplete one."""
        entry = decode_target("i-1", encode_entry(state="draining"))
        self.assertEqual(entry.version, "v1")
        self.assertIs(entry.phase, TargetPhase.DRAINING)
        with self.assertRaises(MalformedMessageError):
            decode_target("i-1", b'{"service":"x"}')

    def test_cold_times_are_decoded(self) -> None:
        """Decode how long a target is cold; another value is the same entry."""
        cold = decode_target("i-1", encode_entry(cold_remaining_ms=1500))
        self.assertEqual(cold.cold_s, 1.5)
        self.assertEqual(cold, decode_target("i-1", encode_entry()))
        with self.assertRaises(MalformedMessageError):
            decode_target("i-1", encode_entry(cold_remaining_ms=1e30))
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["services"][0].update({"cold_s": 3.0, "cold_per_s": 11.0})
        services = decode_configuration(json.dumps(changed).encode()).services
        self.assertEqual(services["x"].cold_s, 3.0)
        self.assertEqual(services["x"].cold_requests_per_s, 11.0)
        self.assertIsNone(services["y"].cold_requests_per_s)

    def test_start_time_distinguishes_incarnations(self) -> None:
        """Decode two entries with the same name and different start times."""
        first = decode_target("i-1", encode_entry(born=1_000))
        second = decode_target("i-1", encode_entry(born=2_000))
        self.assertEqual(first.name, second.name)
        self.assertNotEqual(first.incarnation, second.incarnation)
        self.assertEqual(decode_target("i-1", encode_entry(born=None)).started_ms, 0)

    def test_entry_with_invalid_or_missing_field_is_rejected(self) -> None:
        """Replace one field at a time by an invalid value, and remove one at a time.

        With defaults or conversions, such an entry of another writer would become a
        target, and requests would be sent to an unused address or to another server.
        """
        invalid_fields: list[tuple[str, object]] = [
            ("service", ""),
            ("service", 5),
            ("address", "example.org:80"),
            ("address", "1.2.3.4:0"),
            ("address", "1.2.3.4:99999"),
            ("address", "1.2.3.4"),
            ("slots", "64"),
            ("slots", 0),
            ("slots", True),
            ("state", "leaving"),
            ("sequence", "4"),
            ("born", "1000"),
            ("born", 1000.5),
            ("born", True),
            ("born", 10**30),
        ]
        for name, value in invalid_fields:
            with (
                self.subTest(name=name, value=value),
                self.assertRaises(MalformedMessageError),
            ):
                decode_target("i-1", encode_entry(**{name: value}))
        for name in ENTRY:
            entry = {key: item for key, item in ENTRY.items() if key != name}
            with self.subTest(dropped=name), self.assertRaises(MalformedMessageError):
                decode_target("i-1", json.dumps(entry).encode())


class RecordsTest(unittest.TestCase):
    """Test the encoding and decoding of the store's records."""

    def test_records_are_encoded_and_decoded(self) -> None:
        """Encode and decode records, among them one that deletes its key."""
        body = encode_record("a", b"x") + encode_record("b", None)
        batch = decode_records(struct.pack(">QQ", 9, 0) + body, 5)
        found = [(item.key, item.offset, item.value) for item in batch.records]
        self.assertEqual(found, [("a", 5, b"x"), ("b", 6, None)])
        self.assertEqual(batch.end_offset, 7)

    def test_malformed_records_do_not_block_later_ones(self) -> None:
        """Decode empty and truncated records, and a key that is not valid UTF-8.

        If one such record of another writer failed the whole read, every retry would
        fail as well, and hosts would receive no further changes of targets.
        """
        empty = struct.pack(">I", 0)
        truncated_key = struct.pack(">I", 2) + b"\x09a"
        invalid_utf8 = struct.pack(">I", 4) + b"\x02\xff\xfex"
        body = empty + truncated_key + invalid_utf8 + encode_record("i-1", b"v")
        batch = decode_records(struct.pack(">QQ", 9, 0) + body, 5)
        self.assertEqual(batch.end_offset, 9)
        self.assertEqual(batch.records[-1].key, "i-1")
        self.assertEqual([item.offset for item in batch.records], [5, 6, 7, 8])

    def test_malformed_listed_records_do_not_affect_others(self) -> None:
        """Decode a page with items of wrong types and a value that is not base64."""
        valid = {"key": "i-1", "value": "dg==", "offset": 4}
        items = [5, {"key": 1}, {**valid, "value": "?"}, valid]
        found = validate_items(items, Topic.TARGETS)
        self.assertEqual([item.key for item in found], ["i-1", "i-1"])
        with self.assertRaises(MalformedMessageError):
            decode_target("i-1", decode_item(found[0], 0).value or b"")
        self.assertEqual(decode_item(found[1], 0).value, b"v")

    def test_truncated_response_is_store_unavailable(self) -> None:
        for data in (b"", b"\0" * 15, struct.pack(">QQ", 9, 0) + b"\0\0"):
            with self.assertRaises(StoreUnavailableError):
                decode_records(data, 0)


class SettingsTest(unittest.TestCase):
    """Test the platform's settings file."""

    def load(self, text: str):  # type: ignore[no-untyped-def]
        """Load settings from a temporary file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_text(text)
            return load_platform_settings(path)

    def test_settings_are_decoded(self) -> None:
        """Decode the known fields and ignore unknown ones."""
        settings = self.load(SETTINGS)
        self.assertEqual((settings.host, settings.caller_port), ("front-1", 8227))
        self.assertEqual(settings.store_url, "http://10.200.1.7:8223")
        self.assertEqual(settings.store_partitions, 12)

    def test_admission_queue_is_on_only_under_the_contract_on_pressure(self) -> None:
        """Guard against a queue where no target needs it, or none where one does."""
        self.assertFalse(self.load(SETTINGS).has_admission_queue)
        for text, is_on in (
            ("", False),
            ("rests", False),
            ("pressured,rests", False),
            ("pressure", True),
            ("rests, pressure,hints", True),
        ):
            with self.subTest(text=text):
                settings = self.load(f"{SETTINGS}contracts={text}\n")
                self.assertIs(settings.has_admission_queue, is_on)

    def test_error_names_every_invalid_setting(self) -> None:
        """Reject settings, naming both of two invalid values."""
        with self.assertRaises(SettingsError) as caught:
            self.load(
                SETTINGS.replace("8227", "99999").replace("parts=12", "parts=none")
            )
        self.assertIn("caller_port", str(caught.exception))
        self.assertIn("store_partitions", str(caught.exception))
        with self.assertRaises(SettingsError):
            self.load("zone=brest\n")
