"""Manage one host's draws on one account; pure, with no clock."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.budget.draw_pool import DrawPool
from trefoilstage.ledger.records import Draw, Return, Settle
from trefoilstage.ledger.state import DrawState, DrawStatus

DEMAND_RATE_DECAY = 0.8

DrawStates = Mapping[str, DrawState]


@dataclass(kw_only=True, slots=True)
class AccountPool:
    """Open, use, retire and drop a host's draws on one account.

    `number` is that of the ledger stream that stores the account. Amounts are in
    tokens, or in watts if `returnable`.
    """

    account: str
    number: int
    prefix: str  # of the draws' names
    returnable: bool = False
    current: DrawPool | None = None
    retired: list[DrawPool] = field(default_factory=list)
    n_opened: int = 0
    drawn: int = 0  # granted to this host, less what it has given back
    lost_witness: str = ""  # the last witness that did not respond
    asked_until: float = 0.0  # until then, unheld amounts go to a starved peer
    waiting: int = 0  # the amount that requests wait for
    demand: float = 0.0  # the amount requested since the last update of the rate
    demand_rate: float = 0.0  # per second
    n_idle: int = 0  # successive updates of the rate without demand

    @property
    def held(self) -> int:
        """Return the amount that running requests hold."""
        return sum(draw.held for draw in self.list_draws())

    def list_draws(self) -> list[DrawPool]:
        """Return the current draw and the retired ones that are not dropped yet."""
        current = [self.current] if self.current is not None else []
        return [*self.retired, *current]

    def find_draw(self, name: str) -> DrawPool | None:
        """Return a draw by name."""
        return next((draw for draw in self.list_draws() if draw.draw == name), None)

    def get_or_open_draw(self, witness: str) -> DrawPool:
        """Return the current draw; open one if there is none."""
        if self.current is None:
            self.n_opened += 1
            self.current = DrawPool(
                draw=f"{self.prefix}/{self.account}/{self.n_opened}",
                account=self.account,
                witness=witness,
            )
        return self.current

    def retire_current(self) -> None:
        """Take the current draw out of use; its running requests continue."""
        if self.current is not None:
            self.current.retire()
            self.retired.append(self.current)
            self.current = None

    def retire_if_closed(self, draws: DrawStates) -> None:
        """Retire the current draw once the log has sealed or closed it."""
        draw = self.current
        if draw is None:
            return
        state = draws.get(draw.draw)
        if state is None and not draw.granted:
            return
        if state is None or state.status is not DrawStatus.OPEN:
            self.retire_current()

    def count_usable(self, draws: DrawStates) -> int:
        """Return the amount that new requests may hold."""
        self.retire_if_closed(draws)
        draw = self.current
        if draw is None:
            return 0
        state = draws.get(draw.draw)
        return draw.count_usable(state.amount) if state is not None else 0

    def make_draw(self, *, amount: int, minimum: int, witness: str) -> Draw:
        """Return the record that requests an amount from the log."""
        draw = self.get_or_open_draw(witness)
        draw.n_drawing += 1
        return Draw(
            draw=draw.draw,
            account=self.account,
            amount=amount,
            minimum=minimum,
            witness=draw.witness,
            opens=not draw.granted,
        )

    def apply_draw_verdict(self, name: str, amount: int, draws: DrawStates) -> None:
        """Apply the verdict on a draw; the amount is 0 if the draw was rejected."""
        draw = self.find_draw(name)
        if draw is None:
            return
        draw.n_drawing -= 1
        self.drawn += amount
        draw.granted = draw.granted or amount > 0 or name in draws

    def make_return(self, amount: int) -> Return | None:
        """Return the record that gives an unheld amount back, or None."""
        draw = self.current
        if draw is None or draw.returning or amount <= 0:
            return None
        draw.returning = amount
        return Return(draw=draw.draw, amount=amount)

    def make_settlements(self, draws: DrawStates) -> Iterator[tuple[DrawPool, Settle]]:
        """Yield the settlements that the log still lacks, one for each draw."""
        self.retire_if_closed(draws)
        for draw in self.list_draws():
            state = draws.get(draw.draw)
            if state is None or draw.settling:
                continue
            record = draw.make_settlement(state)
            if record is not None:
                yield draw, record

    def drop_closed(self, draws: DrawStates) -> None:
        """Drop the retired draws that the log has closed and no request uses."""
        self.retired = [
            draw
            for draw in self.retired
            if draw.holds or draw.n_drawing or draw.draw in draws
        ]

    def update_demand_rate(self, interval_s: float) -> None:
        """Update the decaying demand rate from the demand since the last call."""
        rate = self.demand / interval_s
        self.n_idle = 0 if self.demand else self.n_idle + 1
        self.demand_rate = max(rate, self.demand_rate * DEMAND_RATE_DECAY)
        self.demand = 0.0
