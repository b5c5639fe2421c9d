"""Keep the orders of faults that one safeguard alone withstands."""

import unittest

from tests.fuzz.ledger_actors import ACCOUNT, SimHost
from tests.fuzz.ledger_world import World

KEY = "k0"


class LedgerExamplesTest(unittest.TestCase):
    """Replay one order of faults each."""

    def setUp(self) -> None:
        self.world = World(n_hosts=3, tokens=200)
        self.holder, self.witness, self.other = self.world.hosts
        self.open_draw(self.holder, self.witness)

    def open_draw(self, host: SimHost, witness: SimHost) -> None:
        """Give a host a draw of 60 tokens that everyone has read."""
        self.world.exchange()
        self.world.draw(host, 60, 0.0, witness.name)
        self.world.exchange()

    def confirm(self, host: SimHost) -> bool:
        """Ask the witness for what is open; tell whether it was allowed."""
        self.world.call_witness(host)
        name, call = next(iter(host.calls.items()))
        self.world.answer_call(call, repeat=False)
        self.world.take_reply(host, name, lost=False)
        return call.reply is not None and call.reply.allowed

    def start_run(self, host: SimHost, tokens: int, *, fenced: bool = True) -> None:
        """Take a request of 40 tokens to the engine, which executes some."""
        self.world.reserve(host, KEY, 40, fenced=fenced)
        self.assertTrue(self.confirm(host))
        self.world.send(host, host.requests[-1])
        self.world.arrive(0, tokens)

    def seal(self) -> None:
        """Let the witness give its holder up, whatever it has read."""
        self.world.seal(self.witness)
        self.world.flush(self.witness, 1, lost=False)

    def test_seal_of_a_witness_that_lags_bills_no_run_again(self) -> None:
        """A settlement lands, its witness has not read it and seals.

        The seal names the same ended request. Billed again it would be
        credited, and what was spent would be granted a second time.
        """
        self.start_run(self.holder, 20)
        self.world.finish(self.holder, self.holder.requests[0])
        self.assertTrue(self.confirm(self.holder))
        self.world.settle(self.holder)
        self.world.flush(self.holder, 1, lost=False)
        self.seal()
        self.world.check()
        self.assertEqual(self.world.oracle.accounts[ACCOUNT].free, 180)

    def test_holder_of_a_closed_draw_is_not_allowed(self) -> None:
        """A witness seals an idle draw, which closes, and forgets it.

        The holder was paused and has not read the seal. Its next request is
        not allowed, although the witness holds nothing on the draw any more.
        """
        self.seal()
        self.world.read(self.witness, 100)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.assertFalse(self.confirm(self.holder))
        self.world.check()

    def test_witness_that_sealed_allows_nothing_before_the_seal_lands(self) -> None:
        """A witness gives its holder up while the log is out.

        The seal waits in its queue and names no request. One allowed now
        would run, and its tokens would be granted to others by the seal.
        """
        self.world.seal(self.witness)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.assertFalse(self.confirm(self.holder))
        self.world.flush(self.witness, 1, lost=False)
        self.world.check()

    def test_late_settlement_counts_though_targets_raised_the_total(self) -> None:
        """Two requests are in doubt; a target's word settles one of them.

        The draw's total then equals the holder's own, who woke and ended the
        other. Taken as settled, that one would end as never spent.
        """
        self.world.reserve(self.holder, "k1", 20, fenced=True)
        self.start_run(self.holder, 20, fenced=False)
        self.world.send(self.holder, self.holder.requests[0])
        self.world.arrive(0, 20)
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

        Closed now, the draw would leave the running request without cover.
        """
        self.start_run(self.holder, 10)
        self.holder.pool.retire_current()
        self.world.settle(self.holder)
        self.world.exchange()
        self.world.check()

    def test_retry_of_a_doubtful_key_releases_only_what_it_paid(self) -> None:
        """A host dies with a request that may yet spend 40; its retry spends 10.

        The dearest run is billed, so 30 of the first stay in doubt until the
        target has said what it spent.
        """
        self.start_run(self.holder, 5)
        self.seal()
        self.holder.dead = True
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

    def test_tokens_under_way_back_are_not_held_meanwhile(self) -> None:
        """A return waits for the log while a request asks for the same tokens."""
        self.world.give_back(self.holder, 30)
        self.world.reserve(self.holder, KEY, 40, fenced=True)
        self.world.exchange()
        self.world.check()

    def test_return_whose_answer_was_lost_frees_once(self) -> None:
        """A return lands, its answer is lost and it is appended again.

        Folded twice, it would take tokens that a request holds by now.
        """
        self.start_run(self.holder, 40)
        self.world.give_back(self.holder, 10)
        self.world.flush(self.holder, 1, lost=True)
        self.world.exchange()
        self.world.reserve(self.holder, "k1", 10, fenced=True)
        self.world.check()
        self.assertEqual(self.world.oracle.accounts[ACCOUNT].free, 150)


if __name__ == "__main__":
    unittest.main()
