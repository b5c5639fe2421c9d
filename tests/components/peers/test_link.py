"""Test how a link reports and closes a failed connection to a peer."""

import asyncio
import unittest
from unittest import mock

from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.messages import WorkReport
from trefoilstage.components.peers.link import PeerLink
from trefoilstage.components.peers.round_trips import N_CALLS, RoundTrips
from trefoilstage.exceptions import PeerUnavailableError


def make_link(round_trips: RoundTrips) -> PeerLink:
    """Return a link to a peer."""
    return PeerLink(
        url="ws://peer",
        outbound_address="",
        codec=FLEET_CODEC,
        round_trips=round_trips,
    )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Test calls over a connection that fails."""

    async def test_transport_closed_during_a_write_raises_peer_unavailable(
        self,
    ) -> None:
        """Guard against a host that ends when a connection closes during a write.

        The event loop may raise RuntimeError then. The caller has to receive
        PeerUnavailableError: an unexpected error ends the host and all its callers'
        requests.
        """
        link = make_link(RoundTrips())
        connection = mock.AsyncMock()
        connection.send.side_effect = RuntimeError("the handler is closed")
        link._connection = connection
        report = WorkReport(host="host-0", work={})
        with self.assertRaises(PeerUnavailableError):
            await link.send(report, timeout_s=1.0)
        with self.assertRaises(PeerUnavailableError):
            await link.call(report, timeout_s=1.0)

    async def test_long_polls_say_nothing_of_the_link(self) -> None:
        """Guard against a host that takes its link for full while requests wait."""
        trips = RoundTrips()
        link = make_link(trips)
        connection = link._connection = mock.AsyncMock()
        report = WorkReport(host="host-0", work={})

        async def reply(_: object) -> None:
            for future in link._pending_calls.values():
                future.set_result(report)

        connection.send.side_effect = reply
        await link.call(report, timeout_s=0.6, is_long_poll=True)
        connection.send.side_effect = None
        with self.assertRaises(PeerUnavailableError):
            await link.call(report, timeout_s=0.6, is_long_poll=True)
        self.assertFalse(trips.calls)
        connection.send.side_effect = reply
        await link.call(report, timeout_s=0.6)
        self.assertTrue(trips.calls)

    async def call_unresponsive_peer(self, other_reply_s: float) -> bool:
        """Call a peer that does not reply; return whether its connection is closed."""
        now = asyncio.get_running_loop().time()
        trips = RoundTrips()
        for _ in range(N_CALLS):
            trips.record_reply(other_reply_s, now)
        link = make_link(trips)
        link._connection = connection = mock.AsyncMock()
        connection.transport = mock.Mock()
        with (
            mock.patch("trefoilstage.components.peers.link.UNRESPONSIVE_AFTER_S", 0.02),
            self.assertRaises(PeerUnavailableError),
        ):
            await link.call(WorkReport(host="host-0", work={}), timeout_s=0.03)
        return bool(connection.transport.abort.called)

    async def test_connection_of_a_peer_that_lost_its_power_is_closed(self) -> None:
        self.assertTrue(await self.call_unresponsive_peer(0.001))

    async def test_connection_stays_open_when_all_replies_are_as_slow(self) -> None:
        """Guard against connections closed because this host's own link is full.

        Closing one failed all calls that waited on it. Homes counted as lost one after
        the other, and hosts reconnected to each home over the same full link: 2,600
        holds got no reply at two hosts of 90 in 12 s.
        """
        self.assertFalse(await self.call_unresponsive_peer(0.02))


if __name__ == "__main__":
    unittest.main()
