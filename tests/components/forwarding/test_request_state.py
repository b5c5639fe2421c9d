"""Test what the state of a request says about it."""

import unittest
from dataclasses import replace

from tests.components.forwarding.common import REQUEST, make_route
from trefoilstage.components.forwarding.models import Workspace
from trefoilstage.components.forwarding.request_state import RequestState


class AllowedRegionsTest(unittest.TestCase):
    """Test which regions' targets may get a request."""

    def list_allowed(self, route: set[str], workspace: set[str]) -> set[str] | None:
        """Return the allowed regions by those of the route and of the workspace."""
        state = RequestState(
            request=REQUEST,
            body=b"",
            route=replace(make_route("/x/"), allowed_regions=frozenset(route)),
            workspace=Workspace(
                name="school",
                priority=None,
                prepaid_tokens=None,
                allowed_regions=frozenset(workspace),
            ),
            started_at=0.0,
            deadline=1.0,
        )
        allowed = state.allowed_regions
        return None if allowed is None else set(allowed)

    def test_route_and_workspace_both_bind(self) -> None:
        """Guard against a request that only one of them allows in a region."""
        self.assertIsNone(self.list_allowed(set(), set()))
        self.assertEqual(self.list_allowed({"west"}, set()), {"west"})
        self.assertEqual(self.list_allowed(set(), {"east"}), {"east"})
        self.assertEqual(self.list_allowed({"west", "east"}, {"east"}), {"east"})
        self.assertEqual(self.list_allowed({"west"}, {"east"}), set())


if __name__ == "__main__":
    unittest.main()
