"""Test what the start of a large fleet asks of the store."""

import unittest

from tests.components.boards import make_board
from tests.components.escrow.common import WORKSPACE, Bank
from trefoilstage.components.escrow.home import SETTLE_S

N_HOSTS = 20
SILENT_S = 3.0


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Test when a home first draws for its workspaces."""

    def start(self, n_hosts: int) -> Bank:
        """Return hosts of which one has just heard of another."""
        bank = Bank(prepaid=200_000, home="brest-0")
        bank.timer.time = 10.0
        for number in range(n_hosts):
            bank.start(f"brest-{number}")
        bank.meet_all()
        bank.boards["brest-0"].live_changed_at = bank.timer.time
        return bank

    async def tick(self, bank: Bank) -> bool:
        """Let the home keep its stocks; tell whether it draws."""
        home = bank.homes["brest-0"]
        await home._tick()
        draw = home._draws.get(WORKSPACE)
        if draw is not None:
            await draw
        return draw is not None

    async def test_host_that_still_hears_of_others_draws_for_nobody(self) -> None:
        """Start hosts that hear of each other over a second.

        Each takes itself for the home of most workspaces while it knows few others. 83
        hosts made 1,100 draws in a second that the store refused, beside 365 others.
        """
        bank = self.start(N_HOSTS)
        self.assertFalse(await self.tick(bank))
        bank.timer.time += SETTLE_S
        bank.meet_all()
        self.assertTrue(await self.tick(bank))

    async def test_request_that_waits_is_drawn_for_at_once(self) -> None:
        bank = self.start(N_HOSTS)
        self.assertTrue(await bank.hold("brest-0", "brest-1", WORKSPACE, "a", 1_000))

    async def test_small_fleet_draws_at_once(self) -> None:
        bank = self.start(5)
        self.assertTrue(await self.tick(bank))


class LiveHostsTest(unittest.TestCase):
    """Test when the live hosts count as changed."""

    def test_hosts_that_come_and_go_are_a_change(self) -> None:
        """Lose one of three hosts, then hear of it again."""
        board = make_board("host-0", ["host-1", "host-2"])
        self.assertEqual(board.list_live_hosts(1.0, SILENT_S)[1:], ("host-1", "host-2"))
        board.peers["host-1"].last_heard = 5.0
        self.assertEqual(board.list_live_hosts(5.0, SILENT_S), ("host-0", "host-1"))
        self.assertEqual(board.live_changed_at, 5.0)
        board.peers["host-2"].last_heard = 6.0
        board.note_peer_changed()
        self.assertEqual(len(board.list_live_hosts(6.0, SILENT_S)), 3)
        self.assertEqual(board.live_changed_at, 6.0)

    def test_host_that_is_heard_again_in_time_is_none(self) -> None:
        board = make_board("host-0", ["host-1"])
        board.list_live_hosts(1.0, SILENT_S)
        board.peers["host-1"].last_heard = 4.0
        board.note_peer_changed()
        board.list_live_hosts(4.0, SILENT_S)
        self.assertEqual(board.live_changed_at, 1.0)


if __name__ == "__main__":
    unittest.main()
