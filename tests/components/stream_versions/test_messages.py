"""Test that hosts of two builds understand each other's messages."""

import unittest
from dataclasses import replace
from typing import Any

import cbor2

from bench.emulator.limits import ANSWER_HEAD
from tests.components.forwarding.common import REQUEST
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.messages import AnswerStarted, SendToTarget
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.stream_versions.messages import StreamsBegan


class BuildsTest(unittest.TestCase):
    """Decode messages of a build that lacks the newest fields, or has more."""

    def decode_without(self, message: Any, *names: str) -> Any:
        """Return a message that was sent without some fields, and with one more."""
        frame = Frame(number=1, reply=False, body=message)
        sent = cbor2.loads(FLEET_CODEC.encode(frame))
        for part in (sent["body"], *filter(is_table, sent["body"].values())):
            for name in names:
                part.pop(name, None)
            part["of_a_later_build"] = 1
        return FLEET_CODEC.decode(cbor2.dumps(sent)).body

    def test_messages_of_the_build_before_are_understood(self) -> None:
        """Guard against a roll in which hosts can't send through each other."""
        resumed = replace(REQUEST, resumes="r-0", last_event_id="7")
        sent = SendToTarget(
            request=resumed,
            body=b"",
            target="i-1@5",
            options=ForwardOptions(workspace="school", deadline_s=1.0),
        )
        read = self.decode_without(sent, "resumes", "last_event_id")
        self.assertEqual(read.request, REQUEST)
        started = AnswerStarted(head=ANSWER_HEAD, headers=[], is_proven=True)
        self.assertFalse(self.decode_without(started, "is_proven").is_proven)

    def test_streams_are_read_with_and_without_a_proof(self) -> None:
        """Guard against an unproven stream that counts as proven."""
        began = StreamsBegan(
            version=StreamVersion(service="assistant", version="v1"),
            streams=("s-1",),
            unproven="i-1@5",
        )
        self.assertEqual(self.decode_without(began), began)


def is_table(value: object) -> bool:
    """Return whether a part of a message has fields of its own."""
    return isinstance(value, dict)


if __name__ == "__main__":
    unittest.main()
