"""Drive a draw's pool without sockets."""

import unittest

from trefoilstage.components.budget.pool import DrawPool


class PoolTest(unittest.TestCase):
    """Check what a draw's witness is told of its holds."""

    def test_targets_at_one_address_are_asked_once(self) -> None:
        """Lose a host whose targets share an address.

        Nine targets of the demo stand at three addresses. Their host is lost
        within a request; its witness asks each address what it spent and adds
        the answers up. Listed once for each target, 19 tokens came back as 57,
        above the retry's 56, and the budget paid one token that no engine ran.
        """
        pool = DrawPool(draw="d", account="budget:schools", witness="w")
        urls = ["http://a:1", "http://b:1", "http://a:1", "http://b:1"]
        hold = pool.add_hold(request="r", key="k", tokens=94, targets=urls)
        self.assertEqual(hold.targets, (0, 1))
        again = pool.add_hold(request="s", key="l", tokens=94, targets=urls[1:])
        self.assertEqual(again.targets, (1, 0))
