"""Test that callers of a host whose link is full are sent to other hosts."""

import unittest
from dataclasses import dataclass, field

from tests.components.boards import make_board
from trefoilstage.components.peers.round_trips import N_CALLS, RoundTrips
from trefoilstage.fleet_board import FleetBoard

PROMPT_BYTES = 70_000
CALL_BYTES = 300
BYTES_PER_S = 10e6 / 8
OBJECTIVE_S = 0.66
READING_S = 0.3  # at the target
POLL_S = 1.0  # the balancer asks who is ready, and leaves a host after two misses
PROMPTS_PER_S = 25
DAY_S = 20


@dataclass(kw_only=True)
class Link:
    """Carry messages of a host one after the other."""

    free_at: float = 0.0

    def send(self, n_bytes: int, now: float) -> float:
        """Return when a message has passed."""
        self.free_at = max(self.free_at, now) + n_bytes / BYTES_PER_S
        return self.free_at


@dataclass(kw_only=True)
class Host:
    """Hold a host's link and what it knows of it."""

    board: FleetBoard
    link: Link = field(default_factory=Link)
    n_misses: int = 0
    calls: list[tuple[float, float]] = field(default_factory=list)  # begin and end

    def ask_peer(self, now: float) -> float:
        """Return when a call to a peer is answered."""
        answered_at = self.link.send(CALL_BYTES, now) + 0.002
        self.calls.append((now, answered_at))
        return answered_at

    def take_answers(self, now: float) -> None:
        """Let the answers arrive that are due."""
        for begun_at, ended_at in [call for call in self.calls if call[1] <= now]:
            self.board.round_trips.note_answer(ended_at - begun_at, ended_at)
            self.calls.remove((begun_at, ended_at))

    def serve(self, now: float) -> float:
        """Return when a prompt's first token comes: hold, send on, read."""
        held_at = self.ask_peer(now)
        return self.link.send(PROMPT_BYTES, held_at) + READING_S


def play(*, ask_ready: bool) -> int:
    """Return how many callers are in time whom the balancer sends to one host of three.

    They go to the second where the first is out of rotation, as the shares of
    connections are uneven.
    """
    names = [f"host-{number}" for number in range(3)]
    hosts = [Host(board=make_board(name, names)) for name in names]
    n_in_time = 0
    for number in range(DAY_S * PROMPTS_PER_S):
        now = number / PROMPTS_PER_S
        if ask_ready and number % int(POLL_S * PROMPTS_PER_S) == 0:
            for host in hosts:
                host.take_answers(now)
                for peer in host.board.peers.values():
                    peer.last_heard = now
                misses = host.n_misses + 1
                host.n_misses = misses if host.board.sends_elsewhere(now) else 0
        host = next((host for host in hosts if host.n_misses < 2), hosts[0])
        n_in_time += host.serve(now) - now <= OBJECTIVE_S
    return n_in_time


class FullLinkTest(unittest.TestCase):
    """Test hosts with links of 10 Mbit/s."""

    def test_more_callers_are_in_time(self) -> None:
        """Send 25 prompts of 70 KB a second to one of three hosts.

        Its link carries 18. Their tokens are held later and later, and each prompt
        waits again to be sent on, while the links of the others stand idle.
        """
        self.assertGreater(play(ask_ready=True), 2 * play(ask_ready=False))

    def fill(self, board: FleetBoard, *seconds: float) -> None:
        """Let calls take some times, and all peers be heard."""
        self.hear(board)
        for number in range(N_CALLS):
            board.round_trips.note_answer(seconds[number % len(seconds)], 10.0)

    def hear(self, board: FleetBoard) -> None:
        """Hear of all peers."""
        for peer in board.peers.values():
            peer.last_heard = 10.0

    def test_slow_peer_is_no_full_link(self) -> None:
        """Let all calls but a few wait at a home that draws from the store."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.fill(board, 0.6, 0.6, 0.6, 0.003)
        self.assertFalse(board.sends_elsewhere(10.0))

    def test_callers_stay_where_others_stand_no_better(self) -> None:
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.fill(board, 0.4)
        self.assertTrue(board.sends_elsewhere(10.0))
        board.peers["host-1"].link_full = True
        self.assertTrue(board.sends_elsewhere(10.0))
        board.peers["host-2"].link_full = True
        self.assertFalse(board.sends_elsewhere(10.0))

    def test_host_that_knows_little_of_its_link_stays_ready(self) -> None:
        """Take a host with two slow calls, and one whose calls were long ago."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        board.round_trips.note_answer(0.4, 10.0)
        board.round_trips.note_answer(0.4, 10.0)
        self.assertFalse(board.sends_elsewhere(10.0))
        self.fill(board, 0.4)
        self.assertFalse(board.sends_elsewhere(13.0))

    def test_link_on_which_nobody_answers_in_time_is_full(self) -> None:
        """Let each call be given up, since the link is too full for any.

        Left out, the host knew nothing of its link and came back into the rotation,
        with 226 requests under way.
        """
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.hear(board)
        for _ in range(N_CALLS):
            board.round_trips.note_timeout(0.9, 10.0)
        self.assertTrue(board.sends_elsewhere(10.0))
        self.assertEqual(board.round_trips.estimate_answer(10.0), 0.0)

    def test_last_host_after_a_loss_of_power_keeps_its_callers(self) -> None:
        """Lose the power of all other hosts; no call is answered any more."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        for _ in range(N_CALLS):
            board.round_trips.note_timeout(0.9, 10.0)
        self.assertFalse(board.sends_elsewhere(10.0))

    def test_calls_that_are_soon_given_up_tell_nothing(self) -> None:
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        for _ in range(N_CALLS):
            board.round_trips.note_timeout(0.05, 10.0)
        self.assertEqual(board.round_trips.estimate(10.0), 0.0)

    def test_one_fast_call_is_enough(self) -> None:
        trips = RoundTrips()
        for seconds in (0.9, 0.9, 0.002, 0.9):
            trips.note_answer(seconds, 1.0)
        self.assertEqual(trips.estimate(1.0), 0.002)


if __name__ == "__main__":
    unittest.main()
