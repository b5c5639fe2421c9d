"""Test what must end before a lost host's watts are free."""

import unittest

from trefoilstage.components.power.lost_draws import (
    is_responsible,
    make_hold_key,
    make_lost_draw,
)
from trefoilstage.ledger.state import DoubtfulHold, DrawState, DrawStatus

LIVE = {"b-1": "host-b", "c-1": "host-c"}


def make_draw(status: DrawStatus) -> DrawState:
    """Return a draw of host-a, witnessed by host-b."""
    return DrawState(
        account="site:brest", holder="a-1", witness="b-1", opened=3, status=status
    )


class LostDrawTest(unittest.TestCase):
    """Test what is known of a lost host's draws and which host releases them."""

    def test_a_seal_names_the_requests_by_target(self) -> None:
        draw = make_draw(DrawStatus.SEALED)
        draw.sealed = 9
        for number, target in enumerate(("x", "y", "x")):
            key = make_hold_key(target, f"r{number}")
            draw.doubtful[number] = DoubtfulHold(key=key, tokens=20, doubt=20)
        lost = make_lost_draw("a-1/1", draw, next_offset=12)
        self.assertEqual(lost.requests, {"x": ("r0", "r2"), "y": ("r1",)})
        self.assertEqual(lost.fencing, 9)

    def test_without_a_seal_no_request_is_known(self) -> None:
        lost = make_lost_draw("a-1/1", make_draw(DrawStatus.OPEN), next_offset=12)
        self.assertIsNone(lost.requests)
        self.assertEqual(lost.fencing, 12)

    def test_another_host_is_responsible_only_without_the_witness(self) -> None:
        sealed = make_draw(DrawStatus.SEALED)
        self.assertTrue(is_responsible(sealed, "b-1", LIVE, frozenset({"a-1"})))
        self.assertFalse(is_responsible(sealed, "c-1", LIVE, frozenset({"a-1"})))
        lost = frozenset({"a-1", "b-1"})
        self.assertTrue(is_responsible(sealed, "c-1", {"c-1": "host-c"}, lost))
        running = make_draw(DrawStatus.OPEN)
        self.assertFalse(is_responsible(running, "b-1", LIVE, frozenset({"a-1"})))
