"""Hold the engine, the hosts and what passes between them, for the ledger's fuzz."""

from dataclasses import dataclass, field

from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.draw_pool import DrawPool
from trefoilstage.components.budget.messages import Bound, BoundReply
from trefoilstage.components.budget.witness_table import WitnessTable
from trefoilstage.ledger.records import (
    Draw,
    LedgerEnvelope,
    LedgerRecord,
    Return,
    Settle,
)
from trefoilstage.ledger.state import AccountState, LedgerState

ACCOUNT = "budget:brest"
ENGINE = "http://engine"
OPERATOR = "operator"
STREAM = 0


@dataclass(kw_only=True, slots=True)
class Run:
    """Hold what the engine executed for one request."""

    key: str
    limit: int
    tokens: int


@dataclass(kw_only=True, slots=True)
class Engine:
    """Execute requests and refuse those cancelled before; the oracle's meter."""

    runs: dict[str, Run] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)

    def cancel(self, request: str) -> int:
        """End a request for good and return what it executed."""
        self.cancelled.add(request)
        run = self.runs.get(request)
        return run.tokens if run else 0

    def count_dearest(self) -> dict[str, int]:
        """Return the dearest run of each key."""
        dearest: dict[str, int] = {}
        for run in self.runs.values():
            dearest[run.key] = max(dearest.get(run.key, 0), run.tokens)
        return dearest


@dataclass(kw_only=True, slots=True, eq=False)
class Request:
    """Follow one request from its hold to its end."""

    name: str
    key: str
    tokens: int
    draw: DrawPool
    number: int
    sent: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class Call:
    """Follow one message from a holder to its witness."""

    holder: "SimHost"
    draw: DrawPool
    bound: Bound
    reply: BoundReply | None = None


@dataclass(kw_only=True, slots=True, eq=False)
class SimHost:
    """Hold one incarnation's folded state, draws, witness table and outbox."""

    name: str
    state: LedgerState = field(default_factory=LedgerState)
    pool: AccountPool = field(init=False)
    table: WitnessTable = field(init=False)
    dead: bool = False
    frozen: bool = False
    sequence: int = 0
    outbox: list[LedgerEnvelope] = field(default_factory=list)
    pending: dict[int, LedgerRecord] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.pool = AccountPool(account=ACCOUNT, number=STREAM, prefix=self.name)
        self.table = WitnessTable(incarnation=self.name)

    @property
    def runs(self) -> bool:
        """Tell whether the process does anything now."""
        return not self.dead and not self.frozen

    @property
    def account(self) -> AccountState:
        """Return the account as this host has folded it."""
        return self.state.accounts.get(ACCOUNT) or AccountState()

    def submit(self, record: LedgerRecord) -> None:
        """Queue a record for the log."""
        envelope = LedgerEnvelope(
            incarnation=self.name, sequence=self.sequence, record=record
        )
        self.pending[self.sequence] = record
        self.sequence += 1
        self.outbox.append(envelope)

    def resolve(self, sequence: int, amount: int) -> None:
        """Take the verdict on an own record."""
        record = self.pending.pop(sequence, None)
        if isinstance(record, Draw):
            self.pool.apply_draw_verdict(record.draw, amount, self.state.draws)
        draw = self.pool.find_draw(getattr(record, "draw", ""))
        if isinstance(record, Return) and draw is not None:
            draw.returning = 0
        if isinstance(record, Settle) and draw is not None:
            draw.settling = False
