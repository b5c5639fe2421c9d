"""Test that a host with a full network link sends callers to other hosts."""

import unittest
from dataclasses import dataclass, field

from tests.components.boards import make_board
from trefoilstage.components.peers.round_trips import N_CALLS, RoundTrips
from trefoilstage.fleet_board import FleetBoard

PROMPT_BYTES = 70_000
CALL_BYTES = 300
BYTES_PER_S = 10e6 / 8
OBJECTIVE_S = 0.66
PREFILL_S = 0.3
# The load balancer checks readiness this often. It removes a host after two failed
# checks.
POLL_S = 1.0
PROMPTS_PER_S = 25
DURATION_S = 20


@dataclass(kw_only=True)
class Link:
    """Simulate a host's link, which sends messages one after the other."""

    free_at: float = 0.0

    def send(self, n_bytes: int, now: float) -> float:
        """Return when a message was transmitted."""
        self.free_at = max(self.free_at, now) + n_bytes / BYTES_PER_S
        return self.free_at


@dataclass(kw_only=True)
class Host:
    """Simulate a host with its link and its measured round trips."""

    board: FleetBoard
    link: Link = field(default_factory=Link)
    n_misses: int = 0
    calls: list[tuple[float, float]] = field(default_factory=list)  # start, end

    def call_peer(self, now: float) -> float:
        """Return when the reply to a peer call arrives."""
        replied_at = self.link.send(CALL_BYTES, now) + 0.002
        self.calls.append((now, replied_at))
        return replied_at

    def receive_replies(self, now: float) -> None:
        """Record the round trips of replies that have arrived."""
        for started_at, ended_at in [call for call in self.calls if call[1] <= now]:
            self.board.round_trips.record_reply(ended_at - started_at, ended_at)
            self.calls.remove((started_at, ended_at))

    def serve(self, now: float) -> float:
        """Return the time of a prompt's first token: hold, send, prefill."""
        held_at = self.call_peer(now)
        return self.link.send(PROMPT_BYTES, held_at) + PREFILL_S


def count_in_time(*, check_ready: bool) -> int:
    """Return how many of the callers sent to one host of three are in time.

    The load balancer spreads connections unevenly: all callers go to the first host,
    and to the second while the first one is out of rotation.
    """
    names = [f"host-{number}" for number in range(3)]
    hosts = [Host(board=make_board(name, names)) for name in names]
    n_in_time = 0
    for number in range(DURATION_S * PROMPTS_PER_S):
        now = number / PROMPTS_PER_S
        if check_ready and number % int(POLL_S * PROMPTS_PER_S) == 0:
            for host in hosts:
                host.receive_replies(now)
                for peer in host.board.peers.values():
                    peer.last_heard = now
                n_misses = host.n_misses + 1
                host.n_misses = n_misses if host.board.is_only_own_link_full(now) else 0
        host = next((host for host in hosts if host.n_misses < 2), hosts[0])
        n_in_time += host.serve(now) - now <= OBJECTIVE_S
    return n_in_time


class FullLinkTest(unittest.TestCase):
    """Test hosts with links of 10 Mbit/s."""

    def test_more_callers_are_in_time(self) -> None:
        """Send 25 prompts of 70 KB a second to one of three hosts.

        Its link carries 18 a second. Token holds are delayed more and more, and each
        prompt waits again to be sent, while the links of the other hosts are idle.
        """
        self.assertGreater(
            count_in_time(check_ready=True), 2 * count_in_time(check_ready=False)
        )

    def record_round_trips(self, board: FleetBoard, *seconds: float) -> None:
        """Record round trips with the given times, and heartbeats of all peers."""
        self.record_heartbeats(board)
        for number in range(N_CALLS):
            board.round_trips.record_reply(seconds[number % len(seconds)], 10.0)

    def record_heartbeats(self, board: FleetBoard) -> None:
        """Record a heartbeat of each peer."""
        for peer in board.peers.values():
            peer.last_heard = 10.0

    def test_slow_peer_does_not_count_as_full_link(self) -> None:
        """Let most calls wait for a home that draws from the store."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.record_round_trips(board, 0.6, 0.6, 0.6, 0.003)
        self.assertFalse(board.is_only_own_link_full(10.0))

    def test_callers_stay_if_the_peers_links_are_full_too(self) -> None:
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.record_round_trips(board, 0.4)
        self.assertTrue(board.is_only_own_link_full(10.0))
        board.peers["host-1"].link_full = True
        self.assertTrue(board.is_only_own_link_full(10.0))
        board.peers["host-2"].link_full = True
        self.assertFalse(board.is_only_own_link_full(10.0))

    def test_host_with_few_recent_calls_stays_ready(self) -> None:
        """Have only two slow calls, then only calls made long ago."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        board.round_trips.record_reply(0.4, 10.0)
        board.round_trips.record_reply(0.4, 10.0)
        self.assertFalse(board.is_only_own_link_full(10.0))
        self.record_round_trips(board, 0.4)
        self.assertFalse(board.is_only_own_link_full(13.0))

    def test_link_on_which_all_calls_time_out_is_full(self) -> None:
        """Let all calls time out because the link is too full.

        When timeouts were not counted, the host knew nothing about its link and came
        back into rotation with 226 requests in progress.
        """
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        self.record_heartbeats(board)
        for _ in range(N_CALLS):
            board.round_trips.record_timeout(0.9, 10.0)
        self.assertTrue(board.is_only_own_link_full(10.0))
        self.assertEqual(board.round_trips.estimate_reply_s(10.0), 0.0)

    def test_last_live_host_keeps_its_callers(self) -> None:
        """Lose all other hosts to a power failure; every call times out."""
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        for _ in range(N_CALLS):
            board.round_trips.record_timeout(0.9, 10.0)
        self.assertFalse(board.is_only_own_link_full(10.0))

    def test_short_timeouts_are_ignored(self) -> None:
        board = make_board("host-0", ["host-1", "host-2", "host-3", "host-4"])
        for _ in range(N_CALLS):
            board.round_trips.record_timeout(0.05, 10.0)
        self.assertEqual(board.round_trips.estimate_call_s(10.0), 0.0)

    def test_estimate_is_the_fastest_call(self) -> None:
        trips = RoundTrips()
        for seconds in (0.9, 0.9, 0.002, 0.9):
            trips.record_reply(seconds, 1.0)
        self.assertEqual(trips.estimate_call_s(1.0), 0.002)


if __name__ == "__main__":
    unittest.main()
