"""Test that the state dump of a forwarding host contains no key."""

import json
import unittest

from standins.platform import encode_configuration
from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.prefix_fetch import PrefixFetch, TransferTracker
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.dump import dump_value
from trefoilstage.platform.configuration import decode_configuration


class FleetDumpTest(unittest.TestCase):
    """Test the dump of a fleet board."""

    def test_keys_are_left_out(self) -> None:
        """Dump a board whose configuration contains plain-text keys.

        With a key, a reader of the dump could make calls as that workspace.
        """
        data = encode_configuration(1, prepaid=1_000).replace(b'"key"', b'"s3cret"')
        board = FleetBoard(host="h", incarnation="h-1", data_center="brest")
        board.configuration = decode_configuration(data)
        self.assertIn("s3cret", board.configuration.workspaces_by_key)
        text = json.dumps(dump_value(board))
        self.assertIn("school", text)
        self.assertNotIn("s3cret", text)

    def test_fetches_under_way_are_shown(self) -> None:
        """Guard against operators who can't see which source holds prompts up."""
        transfers = TransferTracker()
        source = make_target("i-1")
        fetch = PrefixFetch(source=source, n_tokens=5_000, own_s=0.01, total_s=0.01)
        transfers.add(fetch, "i-0@0", 1.0)
        text = json.dumps(dump_value(transfers))
        self.assertIn(source.incarnation, text)
        self.assertIn("i-0@0", text)
