"""Test how a host counts the tokens of one draw."""

import unittest

from trefoilstage.components.budget.draw_pool import DrawPool


class DrawPoolTest(unittest.TestCase):
    """Test which targets of a hold are reported to the draw's witness."""

    def test_targets_at_one_address_are_asked_once(self) -> None:
        """Guard against an overbilled retry when targets share an address.

        The demo has nine targets at three addresses. When a host is lost during
        a request, its witness adds up what each address reports as spent. With
        one entry per target, 19 tokens were counted as 57, above the retry's 56,
        and the budget paid for one token that no engine had generated.
        """
        draw = DrawPool(draw="d", account="budget:schools", witness="w")
        urls = ["http://a:1", "http://b:1", "http://a:1", "http://b:1"]
        hold = draw.add_hold(request="r", key="k", tokens=94, targets=urls)
        self.assertEqual(hold.targets, (0, 1))
        second = draw.add_hold(request="s", key="l", tokens=94, targets=urls[1:])
        self.assertEqual(second.targets, (1, 0))
