"""Test that repeated, late and reordered settlements are counted once."""

import asyncio
import unittest

from standins.launcher import poll_until
from tests.common import Fleet, pack_state
from trefoilstage.components.log_client.checkpoints import unpack_state
from trefoilstage.components.log_client.folds import LEDGER_STATE_ADAPTER
from trefoilstage.helpers.verdict import ACCEPTED, Reason, Rejected, Verdict
from trefoilstage.ledger.fold import fold_ledger_envelope
from trefoilstage.ledger.records import (
    BilledRequest,
    Draw,
    LedgerEnvelope,
    LedgerRecord,
    OpenRequest,
    Resolve,
    Seal,
    SetLimit,
    Settle,
)
from trefoilstage.ledger.state import AccountState, LedgerState

ACCOUNT = "budget:brest"
N_RECORDS_RETAINED = 30
HOLDER = "host-0"
OTHER_HOLDER = "host-1"
FIRST_REQUEST = BilledRequest(key="permit", tokens=20, number=1)
SECOND_REQUEST = BilledRequest(key="briefing", tokens=10, number=2)


class SettlementFoldTest(unittest.TestCase):
    """Fold settlements in the orders that faults can cause."""

    def setUp(self) -> None:
        self.state = LedgerState()
        self.fold(SetLimit(account=ACCOUNT, limit=1_000, revision=0))
        for holder in (HOLDER, OTHER_HOLDER):
            self.fold(self.make_draw(holder), writer=holder)

    def make_draw(self, holder: str) -> Draw:
        """Return a draw of 100 tokens with the other host as its witness."""
        witness = OTHER_HOLDER if holder == HOLDER else HOLDER
        return Draw(
            draw=f"{holder}/1",
            account=ACCOUNT,
            amount=100,
            minimum=100,
            witness=witness,
            opens=True,
        )

    def fold(self, record: LedgerRecord, *, writer: str = HOLDER) -> Verdict:
        """Fold a record at the next offset with its writer's next sequence number."""
        sequence = self.state.sequences.get(writer, -1) + 1
        envelope = LedgerEnvelope(incarnation=writer, sequence=sequence, record=record)
        return fold_ledger_envelope(self.state, self.state.next_offset, envelope)

    def settle(
        self, *requests: BilledRequest, before: int = 0, writer: str = HOLDER
    ) -> None:
        """Settle requests on top of a previous total of `before` tokens."""
        total = before + sum(request.tokens for request in requests)
        self.fold(
            Settle(
                draw=f"{writer}/1", before=before, spent=total, requests=tuple(requests)
            ),
            writer=writer,
        )

    @property
    def account(self) -> AccountState:
        """Return the state of the tested account."""
        return self.state.accounts[ACCOUNT]

    def settle_finally(self, spent: int) -> None:
        """Send the final settlement of the holder's draw."""
        self.fold(Settle(draw=f"{HOLDER}/1", before=spent, spent=spent, final=True))

    def test_settlement_sent_twice_is_billed_once(self) -> None:
        """Repeat a settlement with a new sequence number.

        The running total shows that its request is already counted: there is no
        second bill, and no credit that would grant the same tokens again.
        """
        self.settle(FIRST_REQUEST)
        self.settle(FIRST_REQUEST)
        self.settle(FIRST_REQUEST, SECOND_REQUEST)
        self.settle_finally(30)
        self.assertEqual(self.account.credit, 0)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.free, 1_000 - 30 - 100)

    def test_settlements_out_of_order_charge_the_total_once(self) -> None:
        """Fold the later of two settlements before the earlier one.

        The later total covers both requests; the earlier one adds nothing.
        """
        self.settle(SECOND_REQUEST, before=20)
        self.settle(FIRST_REQUEST)
        self.assertEqual(self.state.draws[f"{HOLDER}/1"].spent, 30)
        self.settle_finally(30)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.credit, 0)

    def test_record_after_a_missing_one_waits_for_it(self) -> None:
        """Guard against treating a settlement as a repeat of a later one."""
        last = self.state.sequences[HOLDER]
        records = [
            LedgerEnvelope(
                incarnation=HOLDER,
                sequence=last + number,
                record=Settle(draw=f"{HOLDER}/1", before=before, spent=spent),
            )
            for number, before, spent in ((2, 20, 30), (1, 0, 20), (2, 20, 30))
        ]
        verdicts = [
            fold_ledger_envelope(self.state, self.state.next_offset, record)
            for record in records
        ]
        early = Rejected(reason=Reason.OUT_OF_ORDER)
        self.assertEqual(verdicts, [early, ACCEPTED, ACCEPTED])
        self.assertEqual(self.state.draws[f"{HOLDER}/1"].spent, 30)

    def test_late_settlement_of_a_sealed_draw_is_counted_by_request(self) -> None:
        """Settle a draw that was sealed while its holder was still running.

        Two requests are open at the seal, and one is resolved with its target's
        report. Then the holder settles both. The doubtful one is billed now, the
        other stays as the target reported, and the rest of the draw is free.
        """
        opened = [
            OpenRequest(number=1, key=FIRST_REQUEST.key, tokens=40),
            OpenRequest(number=2, key=SECOND_REQUEST.key, tokens=40),
        ]
        seal = Seal(draw=f"{HOLDER}/1", before=0, spent=0, opened=tuple(opened))
        self.fold(seal, writer=OTHER_HOLDER)
        self.assertEqual(self.account.held, 80 + 100)
        self.fold(
            Resolve(draw=f"{HOLDER}/1", requests=(SECOND_REQUEST,)), writer=OTHER_HOLDER
        )
        self.settle(FIRST_REQUEST, SECOND_REQUEST)
        self.assertNotIn(f"{HOLDER}/1", self.state.draws)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.free, 1_000 - 30 - 100)

    def test_key_run_at_two_hosts_is_billed_once_across_a_checkpoint(self) -> None:
        """Run a key at one host and again at another, with a checkpoint in between.

        A host that starts from the checkpoint must credit the second run like a host
        that folded all records: the key costs its more expensive run.
        """
        self.settle(FIRST_REQUEST)
        packed = pack_state(LEDGER_STATE_ADAPTER, self.state)
        replayed = unpack_state(LEDGER_STATE_ADAPTER, packed)
        states = (self.state, replayed)
        for state in states:
            self.state = state
            dearer = BilledRequest(key=FIRST_REQUEST.key, tokens=25, number=1)
            self.settle(dearer, writer=OTHER_HOLDER)
            self.settle(FIRST_REQUEST)
            self.settle_finally(20)
        self.assertEqual(*states)
        self.assertEqual(self.account.credit, 20)
        self.assertEqual(self.account.closed_spend, 20)
        self.assertEqual(self.state.draws[f"{OTHER_HOLDER}/1"].spent, 25)


class SettlementRunTest(unittest.IsolatedAsyncioTestCase):
    """Settle through a log that is down, expires records and loses replies."""

    async def test_spend_shows_exactly_after_an_outage_and_a_replay(self) -> None:
        """Send requests while the log is down, then lose its replies.

        The log keeps few records, so a host that is added later starts from a
        checkpoint. Every host must show exactly what the engine executed.
        """
        settings = {"checkpoint_every": 10}
        async with Fleet(
            log_options=("--retention", str(N_RECORDS_RETAINED)), host_settings=settings
        ) as fleet:
            await self.send_everywhere(fleet, 4)
            await fleet.control_standin(
                fleet.log, down=True, retention=N_RECORDS_RETAINED
            )
            answers = await self.send_everywhere(fleet, 4)
            self.assertIn(200, answers)
            await fleet.control_standin(
                fleet.log, lose_answers=4, retention=N_RECORDS_RETAINED
            )
            while await count_records(fleet) <= 2 * N_RECORDS_RETAINED:
                await self.send_everywhere(fleet, 2)
                await poll_until(lambda: is_settled(fleet), "the spend to settle")
            fleet.hosts.append(await fleet.start_host("host-3"))
            await poll_until(fleet.is_ready, "the new host to be ready")
            await self.send_everywhere(fleet, 1)
            await poll_until(
                lambda: is_settled(fleet), "every host to show the same spend"
            )

    async def send_everywhere(self, fleet: Fleet, n_each: int) -> list[int]:
        """Send `n_each` requests to every host and return the answers' statuses."""
        calls = [fleet.chat(host) for host in fleet.hosts for _ in range(n_each)]
        return [answer.status for answer in await asyncio.gather(*calls)]


async def count_records(fleet: Fleet) -> int:
    """Return the number of records that were appended to the log."""
    meter = await fleet.launcher.get_json(f"{fleet.log.url}/meter")
    return int(meter["records"])


async def is_settled(fleet: Fleet) -> bool:
    """Return whether every host shows exactly the executed tokens as spent."""
    executed = await fleet.count_executed_tokens()
    budgets = [await fleet.get_budget(host) for host in fleet.hosts]
    return all(budget["spent"] == executed for budget in budgets)


if __name__ == "__main__":
    unittest.main()
