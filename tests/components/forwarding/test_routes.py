"""Test that the route with the longest prefix is chosen."""

import unittest

from tests.components.forwarding.common import make_route
from trefoilstage.components.forwarding.routes import RouteTable


class RouteTableTest(unittest.TestCase):
    """Test matching of host names and paths."""

    def setUp(self) -> None:
        """Create a table with nested prefixes."""
        self.table = RouteTable(
            routes=[
                make_route("/a/"),
                make_route("/a/b/"),
                make_route("/", host="other.example"),
            ]
        )

    def match(self, host: str, path: str) -> str | None:
        """Return the name of the matching route, None without one."""
        route = self.table.match(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self) -> None:
        """Match the longer of two prefixes, and the shorter for other paths."""
        self.assertEqual(self.match("club.example", "/a/b/c"), "/a/b/")
        self.assertEqual(self.match("club.example", "/a/bc"), "/a/")
        self.assertEqual(self.match("club.example", "/a/"), "/a/")

    def test_no_route_for_other_paths_and_hosts(self) -> None:
        """Return no route if no prefix matches."""
        self.assertIsNone(self.match("club.example", "/b"))
        self.assertIsNone(self.match("club.example", "/a"))
        self.assertIsNone(self.match("nobody.example", "/a/"))
        self.assertIsNone(self.match("club.example", ""))

    def test_root_prefix_matches_every_path_of_its_host(self) -> None:
        """Match any path with the root prefix of another host name."""
        self.assertEqual(self.match("other.example", "/x/y"), "/")
