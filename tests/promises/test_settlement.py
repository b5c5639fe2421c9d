"""Show that settlements that repeat, come late or cross change nothing twice."""

import asyncio
import unittest

from standins.launcher import wait_for
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
RETENTION = 30
HOLDER = "host-0"
OTHER = "host-1"
FIRST = BilledRequest(key="permit", tokens=20, number=1)
SECOND = BilledRequest(key="briefing", tokens=10, number=2)


class SettlementFoldTest(unittest.TestCase):
    """Fold settlements in orders that faults bring about."""

    def setUp(self) -> None:
        self.state = LedgerState()
        self.fold(SetLimit(account=ACCOUNT, limit=1_000, revision=0))
        for holder in (HOLDER, OTHER):
            self.fold(self.make_draw(holder), writer=holder)

    def make_draw(self, holder: str) -> Draw:
        """Return a draw of 100 tokens, witnessed by the other host."""
        witness = OTHER if holder == HOLDER else HOLDER
        return Draw(
            draw=f"{holder}/1",
            account=ACCOUNT,
            amount=100,
            minimum=100,
            witness=witness,
            opens=True,
        )

    def fold(self, record: LedgerRecord, *, writer: str = HOLDER) -> Verdict:
        """Fold a record at the next offset under its writer's next sequence."""
        sequence = self.state.sequences.get(writer, -1) + 1
        envelope = LedgerEnvelope(incarnation=writer, sequence=sequence, record=record)
        return fold_ledger_envelope(self.state, self.state.next_offset, envelope)

    def settle(
        self, *requests: BilledRequest, before: int = 0, writer: str = HOLDER
    ) -> None:
        """Settle requests that follow a total."""
        total = before + sum(request.tokens for request in requests)
        self.fold(
            Settle(
                draw=f"{writer}/1", before=before, spent=total, requests=tuple(requests)
            ),
            writer=writer,
        )

    @property
    def account(self) -> AccountState:
        """Return the account."""
        return self.state.accounts[ACCOUNT]

    def close(self, spent: int) -> None:
        """Settle the holder's draw finally."""
        self.fold(Settle(draw=f"{HOLDER}/1", before=spent, spent=spent, final=True))

    def test_settlement_sent_twice_is_billed_once(self) -> None:
        """A settlement is sent again under a new sequence, after its first.

        The running total tells that its request is counted: no second bill,
        and no credit that would grant the same tokens again.
        """
        self.settle(FIRST)
        self.settle(FIRST)
        self.settle(FIRST, SECOND)
        self.close(30)
        self.assertEqual(self.account.credit, 0)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.free, 1_000 - 30 - 100)

    def test_settlements_out_of_order_charge_the_total_once(self) -> None:
        """The later of two settlements comes first, the earlier one after it.

        The later total covers both requests; the earlier one adds nothing.
        """
        self.settle(SECOND, before=20)
        self.settle(FIRST)
        self.assertEqual(self.state.draws[f"{HOLDER}/1"].spent, 30)
        self.close(30)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.credit, 0)

    def test_record_after_a_missing_one_waits_for_it(self) -> None:
        """Guard against a settlement that counts as a repeat of a later one."""
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
        """A holder is sealed with two requests open; one is settled by its target.

        The holder lives and settles both. The one in doubt is billed now, the
        other stays as its target said, and the rest of the draw is free.
        """
        opened = [
            OpenRequest(number=1, key=FIRST.key, tokens=40),
            OpenRequest(number=2, key=SECOND.key, tokens=40),
        ]
        seal = Seal(draw=f"{HOLDER}/1", before=0, spent=0, opened=tuple(opened))
        self.fold(seal, writer=OTHER)
        self.assertEqual(self.account.held, 80 + 100)
        self.fold(Resolve(draw=f"{HOLDER}/1", requests=(SECOND,)), writer=OTHER)
        self.settle(FIRST, SECOND)
        self.assertNotIn(f"{HOLDER}/1", self.state.draws)
        self.assertEqual(self.account.closed_spend, 30)
        self.assertEqual(self.account.free, 1_000 - 30 - 100)

    def test_key_run_at_two_hosts_is_billed_once_across_a_checkpoint(self) -> None:
        """A key runs at a host and again at another; a checkpoint lies between.

        A host that starts from the checkpoint credits the second run as one
        that folded everything does: the dearer run is what the key costs.
        """
        self.settle(FIRST)
        packed = pack_state(LEDGER_STATE_ADAPTER, self.state)
        replayed = unpack_state(LEDGER_STATE_ADAPTER, packed)
        states = (self.state, replayed)
        for state in states:
            self.state = state
            dearer = BilledRequest(key=FIRST.key, tokens=25, number=1)
            self.settle(dearer, writer=OTHER)
            self.settle(FIRST)
            self.close(20)
        self.assertEqual(*states)
        self.assertEqual(self.account.credit, 20)
        self.assertEqual(self.account.closed_spend, 20)
        self.assertEqual(self.state.draws[f"{OTHER}/1"].spent, 25)


class SettlementRunTest(unittest.IsolatedAsyncioTestCase):
    """Settle through a log that is out, forgets and loses answers."""

    async def test_spend_shows_exactly_after_an_outage_and_a_replay(self) -> None:
        """Requests run on while the log is out; then its answers are lost.

        The log keeps few records, so a host that comes later starts from a
        checkpoint. Every host shows exactly what the engine executed.
        """
        settings = {"checkpoint_every": 10}
        async with Fleet(
            log_options=("--retention", str(RETENTION)), host_settings=settings
        ) as fleet:
            await self.send_everywhere(fleet, 4)
            await fleet.control(fleet.log, down=True, retention=RETENTION)
            answers = await self.send_everywhere(fleet, 4)
            self.assertIn(200, answers)
            await fleet.control(fleet.log, lose_answers=4, retention=RETENTION)
            while await count_records(fleet) <= 2 * RETENTION:
                await self.send_everywhere(fleet, 2)
                await wait_for(lambda: is_settled(fleet), "the spend to settle")
            fleet.hosts.append(await fleet.start_host("host-3"))
            await wait_for(fleet.is_ready, "the new host to be ready")
            await self.send_everywhere(fleet, 1)
            await wait_for(lambda: is_settled(fleet), "every host to agree")

    async def send_everywhere(self, fleet: Fleet, n_each: int) -> list[int]:
        """Send requests to every host and return the answers' statuses."""
        calls = [fleet.chat(host) for host in fleet.hosts for _ in range(n_each)]
        return [answer.status for answer in await asyncio.gather(*calls)]


async def count_records(fleet: Fleet) -> int:
    """Return how many records the log has taken."""
    meter = await fleet.launcher.get_json(f"{fleet.log.url}/meter")
    return int(meter["records"])


async def is_settled(fleet: Fleet) -> bool:
    """Tell whether every host shows exactly what was executed."""
    executed = await fleet.count_executed()
    budgets = [await fleet.get_budget(host) for host in fleet.hosts]
    return all(budget["spent"] == executed for budget in budgets)


if __name__ == "__main__":
    unittest.main()
