"""Test that the state dump of a forwarding host contains no key."""

import json
import unittest

from standins.platform import encode_configuration
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
