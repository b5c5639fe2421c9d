"""Test that a request goes where the longest prefix says."""

import unittest

from tests.components.forwarding.common import make_route
from trefoilstage.components.forwarding.routes import RouteTable


class RouteTableTest(unittest.TestCase):
    """Test the match of hosts and paths."""

    def setUp(self) -> None:
        """Make a table of nested prefixes."""
        self.table = RouteTable(
            routes=[
                make_route("/a/"),
                make_route("/a/b/"),
                make_route("/", host="other.example"),
            ]
        )

    def match(self, host: str, path: str) -> str | None:
        """Return the name of the route that a path meets."""
        route = self.table.match(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self) -> None:
        """Match the inner of two prefixes, and the outer beside it."""
        self.assertEqual(self.match("club.example", "/a/b/c"), "/a/b/")
        self.assertEqual(self.match("club.example", "/a/bc"), "/a/")
        self.assertEqual(self.match("club.example", "/a/"), "/a/")

    def test_no_route_for_other_paths_and_hosts(self) -> None:
        """Match nothing where no prefix begins the path."""
        self.assertIsNone(self.match("club.example", "/b"))
        self.assertIsNone(self.match("club.example", "/a"))
        self.assertIsNone(self.match("nobody.example", "/a/"))
        self.assertIsNone(self.match("club.example", ""))

    def test_root_prefix_takes_every_path_of_its_host(self) -> None:
        """Match the root prefix of another host."""
        self.assertEqual(self.match("other.example", "/x/y"), "/")
