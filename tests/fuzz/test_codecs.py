"""Fuzz everything that decodes bytes from outside a host."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import MISSING, fields
from typing import Any, get_args, get_type_hints

import aiohttp
import cbor2
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from standins.launcher import RunningProcess, poll_until
from tests.common import SECRET, Fleet
from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.checkpoints import (
    MAX_STATE_BYTES,
    PackedState,
    compress_state,
    dump_state,
    split_checkpoint,
    unpack_state,
)
from trefoilstage.components.log_client.folds import (
    CONFIG_STATE_ADAPTER,
    ConfigFold,
    LedgerFold,
)
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.peers.messages import (
    PEER_CODEC,
    Heartbeat,
    PeerMessage,
)
from trefoilstage.configuration.fold import ConfigState, FileState
from trefoilstage.configuration.records import ConfigRecord
from trefoilstage.exceptions import MalformedMessageError, UnsupportedVersionError
from trefoilstage.ledger.records import LedgerRecord, Upgrade

FUZZ = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
FILE_NAME = "10-a.toml"


def make_record(kind: type[Any]) -> Any:
    """Return a valid record of a kind, with a minimal value in each required field."""
    plain = {int: 1, bool: True, bytes: b"x", str: "x"}
    hints = get_type_hints(kind)
    values = {
        item.name: plain.get(hints[item.name], ())
        for item in fields(kind)
        if item.default is MISSING and item.default_factory is MISSING
    }
    if "name" in values:
        values["name"] = FILE_NAME
    return kind(**values)


LEDGER_RECORDS = [make_record(kind) for kind in get_args(LedgerRecord)]
CONFIG_RECORDS = [make_record(kind) for kind in get_args(ConfigRecord)]
N_RECORDS = len(LEDGER_RECORDS) + len(CONFIG_RECORDS)
PICKS = st.integers(min_value=0, max_value=N_RECORDS - 1)
FOLDS: list[tuple[Callable[[Blackboard], Any], list[Any]]] = [
    (lambda board: LedgerFold(blackboard=board, number=0), LEDGER_RECORDS),
    (lambda board: ConfigFold(blackboard=board), CONFIG_RECORDS),
]
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(min_value=-(1 << 64), max_value=1 << 64),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
    st.just([]),
    st.just({}),
    st.just(["x"] * 3),
)


def damage_bytes(data: bytes, position: int, byte: int, cut: bool) -> bytes:
    """Return bytes with one byte replaced, or truncated at its position."""
    position %= len(data)
    if cut:
        return data[:position]
    return data[:position] + bytes([byte]) + data[position + 1 :]


def replace_field(data: bytes, pick: int, value: object) -> bytes:
    """Return an envelope's bytes with one field of it or of its record replaced."""
    message: dict[str, Any] = cbor2.loads(data)
    record: dict[str, Any] = message["record"]
    names = [*message, *record]
    name = names[pick % len(names)]
    place = record if pick % len(names) >= len(message) else message
    place[name] = value
    return cbor2.dumps(message)


def fold_all(fold: Any, log: list[bytes]) -> list[object]:
    """Fold a log as a host does and return the verdicts, None for skipped records."""
    verdicts: list[object] = []
    for offset, data in enumerate(log):
        try:
            verdicts.append(fold.fold(offset, fold.decode(data)))
        except MalformedMessageError:
            fold.skip(offset)
            verdicts.append(None)
        except UnsupportedVersionError:
            break
    return verdicts


class RecordFuzz(unittest.TestCase):
    """Test that damaged records are skipped alike by all hosts."""

    def make_board(self) -> Blackboard:
        """Return an empty blackboard."""
        return Blackboard(host="h", incarnation="i", data_center="d")

    def check(self, damaged: bytes, number: int) -> None:
        """Check that two hosts agree on a damaged record and skip it without effect."""
        for make_fold, records in FOLDS:
            maker = make_fold(self.make_board())
            good = [
                maker.encode("w", place, record) for place, record in enumerate(records)
            ]
            place = number % len(good)
            bad = [*good[:place], damaged, *good[place:]]
            boards = [self.make_board() for _ in range(2)]
            verdicts = [fold_all(make_fold(board), bad) for board in boards]
            self.assertEqual(verdicts[0], verdicts[1])
            self.assertEqual(boards[0], boards[1])
            if len(verdicts[0]) > place and verdicts[0][place] is None:
                without = fold_all(make_fold(self.make_board()), good)
                rest = [item for item in verdicts[0] if item is not None]
                self.assertEqual(
                    [type(item) for item in without], list(map(type, rest))
                )

    @FUZZ
    @given(st.binary(max_size=200), PICKS)
    def test_random_bytes(self, data: bytes, number: int) -> None:
        self.check(data, number)

    @FUZZ
    @given(
        PICKS,
        st.integers(0, 400),
        st.integers(0, 255),
        st.booleans(),
    )
    def test_damaged_records(
        self, pick: int, position: int, byte: int, cut: bool
    ) -> None:
        self.check(damage_bytes(encode_any(pick), position, byte, cut), pick)

    @FUZZ
    @given(PICKS, st.integers(0, 20), VALUES)
    def test_records_with_a_strange_field(
        self, pick: int, field: int, value: object
    ) -> None:
        self.check(replace_field(encode_any(pick), field, value), pick)

    @FUZZ
    @given(st.binary(max_size=300))
    def test_checkpoint_of_any_bytes_is_rejected(self, data: bytes) -> None:
        packed = PackedState(offset=5, fold_version=1, data=data)
        with self.assertRaises(MalformedMessageError):
            unpack_state(CONFIG_STATE_ADAPTER, packed)

    def test_checkpoint_that_inflates_beyond_the_limit_is_rejected(self) -> None:
        """Restore a checkpoint that decompresses to more bytes than a state may have.

        A starting host reads the checkpoint. Decompressing all of it could exhaust
        the host's memory; it stops at the limit and looks for another checkpoint.
        """
        content = "a" * (MAX_STATE_BYTES + 1)
        files = {FILE_NAME: FileState(content=content, revision=0)}
        state = ConfigState(next_offset=5, files=files)
        packed = asyncio.run(compress_state(dump_state(CONFIG_STATE_ADAPTER, state, 5)))
        self.assertEqual(len(split_checkpoint(packed)), 1)
        with self.assertRaises(MalformedMessageError):
            unpack_state(CONFIG_STATE_ADAPTER, packed)

    def test_record_of_a_newer_version_is_skipped_until_the_upgrade(self) -> None:
        """Read a record of a newer version, then the stream's upgrade record.

        Before the upgrade, hosts of every version skip the newer record. At the
        upgrade, a host that does not support the version must stop.
        """
        board = self.make_board()
        fold = LedgerFold(blackboard=board, number=0)
        newer = cbor2.loads(fold.encode("w", 0, LEDGER_RECORDS[0]))
        newer["version"] = 2
        with self.assertRaises(MalformedMessageError):
            fold.decode(cbor2.dumps(newer))
        with self.assertRaises(UnsupportedVersionError):
            fold.fold(0, fold.decode(fold.encode("w", 0, Upgrade(version=2))))
        self.assertEqual(fold.next_offset, 0)


def encode_any(pick: int) -> bytes:
    """Return the bytes of one record of either stream."""
    board = Blackboard(host="h", incarnation="i", data_center="d")
    if pick < len(LEDGER_RECORDS):
        fold = LedgerFold(blackboard=board, number=0)
        return fold.encode("w", 100 + pick, LEDGER_RECORDS[pick])
    config = ConfigFold(blackboard=board)
    return config.encode("w", 100 + pick, CONFIG_RECORDS[pick - len(LEDGER_RECORDS)])


class PortFuzz(unittest.IsolatedAsyncioTestCase):
    """Send malformed bytes to the ports of a running host."""

    async def test_bad_bytes_on_every_port_leave_a_host_serving(self) -> None:
        """Send a host malformed bytes as peer, caller and operator, and by the log.

        The host answers each with an error, or drops and logs it. Afterwards it
        still answers a peer's heartbeat, a caller and an operator, and reads its
        streams to the end.
        """
        async with Fleet(n_hosts=2) as fleet:
            host = fleet.hosts[0]
            await self.send_bad_frames_to_peer_port(host, list(make_bad_frames()))
            await self.send_bad_bodies_to_http_ports(fleet, host)
            for stream in ("config", "ledger-0"):
                url = f"{fleet.log.url}/streams/{stream}/records"
                for data in make_bad_frames():
                    async with fleet.launcher.session.post(
                        url, data=cbor2.dumps([data])
                    ) as response:
                        self.assertEqual(response.status, 200)
            answer = await fleet.chat(host)
            self.assertEqual(answer.status, 200, answer.body)
            await poll_until(
                lambda: any("record_malformed" in line for line in host.lines),
                "the rejection to be logged",
            )
            self.assertTrue(
                any("peer_message_malformed" in line for line in host.lines)
            )
            states = []
            for item in fleet.hosts:
                files = await fleet.launcher.get_json(
                    f"{item.operator_url}/config/files"
                )
                states.append(files)
                self.assertIsNone(item.process.returncode)
                traces = [line for line in item.lines if "Traceback" in line]
                self.assertEqual(traces, [])
            self.assertEqual(states[0], states[1])

    async def send_bad_frames_to_peer_port(
        self, host: RunningProcess, frames: list[bytes]
    ) -> None:
        """Send each frame as binary and text, then raw TCP bytes, then a heartbeat."""
        url = f"ws://{host.address}:{host.ports['peer_port']}"
        for data in frames:
            try:
                async with connect(url, proxy=None) as connection:
                    await connection.send(data)
                    await connection.send(data.hex())
            except (OSError, WebSocketException):
                continue
        reader, writer = await asyncio.open_connection(
            host.address, host.ports["peer_port"]
        )
        writer.write(b"\x00\xff" * 100 + b"\r\n\r\n")
        await writer.drain()
        await reader.read()
        writer.close()
        async with connect(url, proxy=None) as connection:
            body = Heartbeat(host="host-1", incarnation="host-1-x")
            frame: Frame[PeerMessage] = Frame(number=1, reply=False, body=body)
            await connection.send(PEER_CODEC.encode(frame))
            async with asyncio.timeout(5):
                reply = await connection.recv()
            assert isinstance(reply, bytes)
            self.assertIsInstance(PEER_CODEC.decode(reply).body, Heartbeat)

    async def send_bad_bodies_to_http_ports(
        self, fleet: Fleet, host: RunningProcess
    ) -> None:
        """Post each body to each path and expect a 4xx status."""
        headers = {"Authorization": f"Bearer {SECRET}"}
        paths = [
            f"{host.caller_url}/v1/chat/completions",
            f"{host.operator_url}/config/publish",
            f"{host.operator_url}/config/remove",
            f"{host.operator_url}/budgets/brest/top-up",
        ]
        for path in paths:
            for data in make_bad_frames():
                async with fleet.launcher.session.post(
                    path, data=data, headers=headers
                ) as response:
                    await response.read()
                    self.assertIn(response.status, range(400, 500), (path, data))
        for port in ("caller_port", "operator_port"):
            reader, writer = await asyncio.open_connection(
                host.address, host.ports[port]
            )
            writer.write(b"\x00\xff" * 100 + b"\r\n\r\n")
            await writer.drain()
            await reader.read()
            writer.close()
        with self.assertRaises(aiohttp.ClientError):
            await fleet.launcher.session.get(f"http://{host.address}:1")


def make_bad_frames() -> list[bytes]:
    """Return fixed malformed frames: damaged, truncated, deeply nested, mistyped."""
    body = Heartbeat(host="h", incarnation="i")
    frame: Frame[PeerMessage] = Frame(number=1, reply=False, body=body)
    good = PEER_CODEC.encode(frame)
    damaged = [
        damage_bytes(good, position, 0xFF, False) for position in range(len(good))
    ]
    cut = [good[:position] for position in range(0, len(good), 5)]
    deep = [b"\x81" * 100_000, b"\xa1\x61a" * 5_000]
    items: list[object] = [1, None, "x", [], {}, {"number": -1}]
    mistyped = [cbor2.dumps(item) for item in items]
    tagged = [bytes([0xC2, 0x59, 0xFF, 0xFF]), bytes([0xD8, 0x1C, 0x81, 0xD8, 0x1D, 0])]
    return [b"\x00", *damaged, *cut, *deep, *mistyped, *tagged]


if __name__ == "__main__":
    unittest.main()
