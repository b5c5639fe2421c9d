"""Test when a starting host listens for callers before it can serve them."""

import socket
import unittest

from trefoilstage.util.early_socket import Address, open_if_fleet_is_down

LOOPBACK = "127.0.0.1"


def open_port(*, listening: bool) -> socket.socket:
    """Return a socket with a port of its own, which refuses unless it listens."""
    opened = socket.socket()
    opened.bind((LOOPBACK, 0))
    if listening:
        opened.listen(1)
    return opened


class EarlySocketTest(unittest.TestCase):
    """Test the probes of some peers."""

    def start(self, *peers: socket.socket) -> socket.socket | None:
        """Return the early socket of a host that knows some peers."""
        addresses: list[Address] = [peer.getsockname() for peer in peers]
        opened = open_if_fleet_is_down((LOOPBACK, 0), addresses)
        for item in (*peers, opened):
            if item is not None:
                self.addCleanup(item.close)
        return opened

    def test_host_listens_early_while_no_peer_runs(self) -> None:
        """Guard against callers that fail while all hosts start."""
        opened = self.start(*(open_port(listening=False) for _ in range(3)))
        assert opened is not None
        with socket.create_connection(opened.getsockname(), timeout=1.0):
            pass

    def test_port_stays_closed_while_a_peer_runs(self) -> None:
        """Guard against callers that wait for a start, as other hosts serve."""
        peers = [open_port(listening=False), open_port(listening=True)]
        self.assertIsNone(self.start(*peers))

    def test_port_stays_closed_if_no_peer_is_known(self) -> None:
        """Guard against a first start, or one in an outage, that takes callers."""
        self.assertIsNone(self.start())


if __name__ == "__main__":
    unittest.main()
