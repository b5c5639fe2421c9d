"""Simulate the engine, the hosts and their messages for the ledger's fuzz test."""

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
class EngineRun:
    """Describe what the engine executed for one request."""

    key: str
    limit: int
    tokens: int


@dataclass(kw_only=True, slots=True)
class SimulatedEngine:
    """Execute requests that were not cancelled, and meter them for the oracle."""

    runs: dict[str, EngineRun] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)

    def cancel(self, request: str) -> int:
        """End a request permanently and return the tokens that it executed."""
        self.cancelled.add(request)
        run = self.runs.get(request)
        return run.tokens if run else 0

    def compute_max_tokens_by_key(self) -> dict[str, int]:
        """Return the tokens of the largest run of each idempotency key."""
        max_tokens: dict[str, int] = {}
        for run in self.runs.values():
            max_tokens[run.key] = max(max_tokens.get(run.key, 0), run.tokens)
        return max_tokens


@dataclass(kw_only=True, slots=True, eq=False)
class Request:
    """Describe one request at a host, from its hold to its end."""

    name: str
    key: str
    tokens: int
    draw: DrawPool
    number: int
    was_sent: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class WitnessCall:
    """Describe one message in which a holder asks its witness to confirm a bound."""

    holder: "SimulatedHost"
    draw: DrawPool
    bound: Bound
    reply: BoundReply | None = None


@dataclass(kw_only=True, slots=True, eq=False)
class SimulatedHost:
    """Simulate one incarnation: its folded state, draws, witness table and outbox."""

    name: str
    state: LedgerState = field(default_factory=LedgerState)
    pool: AccountPool = field(init=False)
    table: WitnessTable = field(init=False)
    is_dead: bool = False
    is_frozen: bool = False
    sequence: int = 0
    outbox: list[LedgerEnvelope] = field(default_factory=list)
    pending: dict[int, LedgerRecord] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    calls: dict[str, WitnessCall] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.pool = AccountPool(account=ACCOUNT, number=STREAM, prefix=self.name)
        self.table = WitnessTable(incarnation=self.name)

    @property
    def is_running(self) -> bool:
        """Return whether the process is alive and not suspended."""
        return not self.is_dead and not self.is_frozen

    @property
    def account(self) -> AccountState:
        """Return the account as this host has folded it so far."""
        return self.state.accounts.get(ACCOUNT) or AccountState()

    def submit(self, record: LedgerRecord) -> None:
        """Queue a record to append to the log."""
        envelope = LedgerEnvelope(
            incarnation=self.name, sequence=self.sequence, record=record
        )
        self.pending[self.sequence] = record
        self.sequence += 1
        self.outbox.append(envelope)

    def resolve(self, sequence: int, amount: int) -> None:
        """Apply the verdict on a record of this host; `amount` is 0 if rejected."""
        record = self.pending.pop(sequence, None)
        if isinstance(record, Draw):
            self.pool.apply_draw_verdict(record.draw, amount, self.state.draws)
        draw = self.pool.find_draw(getattr(record, "draw", ""))
        if isinstance(record, Return) and draw is not None:
            draw.returning = 0
        if isinstance(record, Settle) and draw is not None:
            draw.settling = False
