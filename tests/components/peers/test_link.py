"""Test that a broken link to a peer is told as such."""

import unittest
from unittest import mock

from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.messages import WorkReport
from trefoilstage.components.peers.link import PeerLink
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.exceptions import PeerUnavailableError


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Test calls over a connection that fails."""

    async def test_transport_closed_under_a_write_is_a_lost_peer(self) -> None:
        """Write to a peer whose connection is closed in the same moment.

        The event loop may raise RuntimeError then. It must reach the caller as a lost
        peer: as an unexpected error it would end the whole host, and its callers
        with it.
        """
        link = PeerLink(
            url="ws://peer",
            outbound_address="",
            codec=FLEET_CODEC,
            round_trips=RoundTrips(),
        )
        connection = mock.AsyncMock()
        connection.send.side_effect = RuntimeError("the handler is closed")
        link._connection = connection
        report = WorkReport(host="host-0", work={})
        with self.assertRaises(PeerUnavailableError):
            await link.tell(report, timeout_s=1.0)
        with self.assertRaises(PeerUnavailableError):
            await link.call(report, timeout_s=1.0)


if __name__ == "__main__":
    unittest.main()
