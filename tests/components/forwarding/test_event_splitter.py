"""Test that only complete events are passed on to callers."""

import random
import unittest

from trefoilstage.components.forwarding.event_splitter import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d"


class EventSplitterTest(unittest.TestCase):
    """Test the split of a stream at arbitrary positions."""

    def test_events_are_the_same_however_the_bytes_arrive(self) -> None:
        """Feed a stream in random pieces; its last event is incomplete."""
        whole = EventSplitter().add(STREAM)
        for seed in range(50):
            generator = random.Random(seed)
            splitter = EventSplitter()
            events = []
            rest = STREAM
            while rest:
                size = generator.randrange(1, 9)
                events += splitter.add(rest[:size])
                rest = rest[size:]
            self.assertEqual(events, whole)
            self.assertTrue(splitter.has_partial_event)

    def test_event_ids_are_parsed(self) -> None:
        """Parse the id of each event, None for an event without one."""
        event_ids = [event.event_id for event in EventSplitter().add(STREAM)]
        self.assertEqual(event_ids, [1, 2, None])

    def test_bytes_are_unchanged(self) -> None:
        """Return all received bytes except those of the incomplete last event."""
        events = EventSplitter().add(STREAM)
        joined = b"".join(event.data for event in events)
        self.assertEqual(joined, STREAM[: STREAM.index(b"id: 4")])
