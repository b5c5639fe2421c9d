"""Test orders of faults that only a single safeguard protects against."""

import unittest

from tests.fuzz.ledger_actors import ACCOUNT, SimulatedHost
from tests.fuzz.ledger_world import World

KEY = "k0"


class LedgerExamplesTest(unittest.TestCase):
    """Replay one order of faults in each test."""

    def setUp(self) -> None:
        self.world = World(n_hosts=3, tokens=200)
        self.holder, self.witness, self.other = self.world.hosts
        self.open_draw(self.holder, self.witness)

    def open_draw(self, host: SimulatedHost, witness: SimulatedHost) -> None:
        """Give a host a draw of 60 tokens that all hosts have read."""
        self.world.exchange()
        self.world.draw(host, 60, 0.0, witness.name)
        self.world.exchange()

    def call_witness(self, host: SimulatedHost) -> bool:
        """Ask the witness to confirm the open bound; return whether it was allowed."""
        self.world.call_witness(host)
        name, call = next(iter(host.calls.items()))
        self.world.deliver_call(call, repeat=False)
        self.world.receive_reply(host, name, lost=False)
        return call.reply is not None and call.reply.allowed

    def start_run(
        self, host: SimulatedHost, tokens: int, *, fenced: bool = True
    ) -> None:
        """Send a request of 40 tokens to the engine, which executes `tokens`."""
        self.world.reserve(host, KEY, 40, fenced=fenced)
        self.assertTrue(self.call_witness(host))
        self.world.send(host, host.requests[-1])
        self.world.deliver_request(0, tokens)

    def seal(self) -> None:
        """Let the witness seal its holder's draw, whatever it has read."""
        self.world.seal(self.witness)
        self.world.flush(self.witness, 1, lost=False)

    def test_seal_of_a_lagging_witness_does_not_bill_a_run_twice(self) -> None:
        """A witness seals a draw before it has read the draw's settlement.

        The seal names the same ended request. If that were billed again, it would
        be credited, and the spent tokens would be granted a second time.
        """
        self.start_run(self.holder, 20)
        self.world.finish(self.holder, self.holder.requests[0])
        self.assertTrue(self.call_witness(self.holder))
        self.world.settle(self.holder)
        self.world.flush(self.holder, 1, lost=False)
        self.seal()
        self.world.check()
        self.assertEqual(self.world.oracle.accounts[ACCOUNT].free, 180)

    def test_witness_allows_no_request_on_a_closed_draw(self) -> None:
        """A witness seals an idle draw, which closes, and forgets it.

        The holder was suspended and has not read the seal. The witness must not
        allow its next request, although it has no entry for the draw any more.
        """
        self.seal()
        self.world.read(self.witness, 100)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.assertFalse(self.call_witness(self.holder))
        self.world.check()

    def test_witness_allows_no_request_after_it_queued_a_seal(self) -> None:
        """A witness seals its holder's draw while the log is unavailable.

        The seal is queued and names no request. A request allowed now would run
        while the seal grants its tokens to other hosts.
        """
        self.world.seal(self.witness)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.assertFalse(self.call_witness(self.holder))
        self.world.flush(self.witness, 1, lost=False)
        self.world.check()

    def test_late_settlement_counts_after_a_target_raised_the_total(self) -> None:
        """Two requests are in doubt, and a target's report settles one of them.

        The draw's total then equals the total of the holder, which resumed and
        ended the other request. If that equality counted as settled, the other
        request would be recorded as never spent.
        """
        self.world.reserve(self.holder, "k1", 20, fenced=True)
        self.start_run(self.holder, 20, fenced=False)
        self.world.send(self.holder, self.holder.requests[0])
        self.world.deliver_request(0, 20)
        self.seal()
        self.world.read(self.witness, 100)
        self.world.recover(self.witness)
        self.world.exchange()
        for request in reversed(list(self.holder.requests)):
            self.world.finish(self.holder, request)
        for _ in range(2):
            self.world.settle(self.holder)
            self.world.exchange()
        self.world.check()
        self.assertEqual(self.world.oracle.accounts[ACCOUNT].free, 160)

    def test_retired_draw_stays_open_while_a_request_runs(self) -> None:
        """A holder loses its witness while a request runs, and settles.

        If the draw closed now, no tokens would be held for the running request.
        """
        self.start_run(self.holder, 10)
        self.holder.pool.retire_current()
        self.world.settle(self.holder)
        self.world.exchange()
        self.world.check()

    def test_retry_of_a_doubtful_key_releases_only_its_own_tokens(self) -> None:
        """Lose a host during a request that can still spend 40; its retry spends 10.

        The largest run of a key is billed, so 30 tokens of the first request stay
        in doubt until the target has reported what it spent.
        """
        self.start_run(self.holder, 5)
        self.seal()
        self.holder.is_dead = True
        self.open_draw(self.other, self.witness)
        self.start_run(self.other, 10)
        self.world.finish(self.other, self.other.requests[0])
        for _ in range(2):
            self.world.settle(self.other)
            self.other.pool.retire_current()
            self.world.exchange()
        self.world.check()
        self.world.recover(self.witness)
        self.world.exchange()
        self.world.check()
        account = self.world.oracle.accounts[ACCOUNT]
        self.assertEqual(account.free, 200 - 10)

    def test_tokens_of_a_queued_return_are_not_held(self) -> None:
        """A return is queued while a request needs the same tokens."""
        self.world.return_tokens(self.holder, 30)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.world.exchange()
        self.world.check()

    def test_return_appended_twice_frees_its_tokens_once(self) -> None:
        """A return is appended, the log's answer is lost, and it is appended again.

        If it were folded twice, it would free tokens that a request holds by then.
        """
        self.start_run(self.holder, 40)
        self.world.return_tokens(self.holder, 10)
        self.world.flush(self.holder, 1, lost=True)
        self.world.exchange()
        self.world.reserve(self.holder, "k1", 10, fenced=True)
        self.world.check()
        self.assertEqual(self.world.oracle.accounts[ACCOUNT].free, 150)


if __name__ == "__main__":
    unittest.main()
