"""Test what a host without links of its own makes of failures of targets."""

import unittest

from tests.components.forwarding.chooser_case import ChooserCase
from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.answers import NotRun


class LostLinksTest(ChooserCase):
    """Test which targets are ejected, and used for peers."""

    async def test_failures_of_lost_links_eject_no_target(self) -> None:
        """Guard against targets that stay ejected once a host sends through peers."""
        failing, other = make_target("i-1"), make_target("i-2", service="booking")
        for target in (failing, other):
            self.board.targets.apply_entry(target)
            timed_out = NotRun(reason="timeout", timed_out=True)
            self.chooser.record_answer(target, timed_out, 0.0)
        self.chooser.forget_failures("assistant")
        health = self.chooser._outcomes.get_health
        self.assertTrue(health(failing).may_send(10.0, retry=False))
        self.assertFalse(health(other).may_send(10.0, retry=False))

    async def test_target_that_leaves_is_not_used_for_a_peer(self) -> None:
        """Guard against a peer's request to a target that this host must not use."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.assertEqual(self.chooser.find_usable("i-1@0"), target)
        self.assertIsNone(self.chooser.find_usable("i-1@5"))
        self.assertIsNone(self.chooser.find_usable("i-2@0"))
        self.board.targets.record_leaving("i-1@0")
        self.assertIsNone(self.chooser.find_usable("i-1@0"))

    async def test_lost_path_ejects_no_target(self) -> None:
        """Guard against targets that are blamed as no peer reached them."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        for _ in range(5):
            lost = NotRun(reason="no peer is known", path_lost=True)
            self.chooser.record_answer(target, lost, 0.0)
        health = self.chooser._outcomes.get_health(target)
        self.assertTrue(health.may_send(10.0, retry=False))


if __name__ == "__main__":
    unittest.main()
