"""Simulate hosts, their witnesses, one log and one engine with the product's rules."""

from tests.common import pack_state
from tests.fuzz.ledger_actors import (
    ACCOUNT,
    ENGINE,
    OPERATOR,
    STREAM,
    EngineRun,
    Request,
    SimulatedEngine,
    SimulatedHost,
    WitnessCall,
)
from trefoilstage.components.budget.draw_pool import NO_WITNESS
from trefoilstage.components.budget.policy import (
    AccountSnapshot,
    BudgetPolicy,
    DrawPolicy,
)
from trefoilstage.components.log_client.checkpoints import unpack_state
from trefoilstage.components.log_client.folds import LEDGER_STATE_ADAPTER
from trefoilstage.configuration.schema import Preference
from trefoilstage.helpers.verdict import Accepted
from trefoilstage.ledger.fold import fold_ledger_envelope
from trefoilstage.ledger.records import (
    BilledRequest,
    Draw,
    LedgerEnvelope,
    LedgerRecord,
    Resolve,
    SetLimit,
    TopUp,
)
from trefoilstage.ledger.state import AccountState, DrawStatus, LedgerState


class World:
    """Run a simulated fleet one step at a time."""

    def __init__(self, *, n_hosts: int, tokens: int) -> None:
        self.log: list[LedgerEnvelope] = []
        self.fingerprints: list[str] = []
        self.oracle = LedgerState()
        self.peak_paid = 0
        self.engine = SimulatedEngine()
        self.requests_in_flight: list[tuple[Request, int]] = []
        self.calls_in_flight: list[WitnessCall] = []
        self.hosts: list[SimulatedHost] = []
        self.n_requests = 0
        self.n_operations = 0
        self.n_limits = 0
        self.policy = DrawPolicy(
            kind=BudgetPolicy.ADAPTIVE, horizon_s=2.0, fixed_draw_tokens=50
        )
        self.set_limit(tokens)
        for _ in range(n_hosts):
            self.add_host()

    def add_host(self) -> None:
        """Add a host that has read nothing yet."""
        self.hosts.append(SimulatedHost(name=f"host-{len(self.hosts)}"))

    def append(self, envelope: LedgerEnvelope) -> None:
        """Append a record and fold it for the oracle."""
        fold_ledger_envelope(self.oracle, len(self.log), envelope)
        self.log.append(envelope)
        self.fingerprints.append(repr(self.oracle))
        account = self.oracle.accounts.get(ACCOUNT) or AccountState()
        self.peak_paid = max(self.peak_paid, account.paid)

    def set_limit(self, tokens: int) -> None:
        """Set the account's limit by a new configuration revision."""
        record = SetLimit(account=ACCOUNT, limit=tokens, revision=self.n_limits)
        self._append_as_operator(record)
        self.n_limits += 1

    def top_up(self, tokens: int, *, again: bool) -> None:
        """Top up the account, or repeat the previous operation."""
        if not again or self.n_operations == 0:
            self.n_operations += 1
        operation = f"top-up-{self.n_operations}"
        self._append_as_operator(
            TopUp(account=ACCOUNT, amount=tokens, operation=operation)
        )

    def _append_as_operator(self, record: LedgerRecord) -> None:
        sequence = self.oracle.sequences.get(OPERATOR, -1) + 1
        self.append(
            LedgerEnvelope(incarnation=OPERATOR, sequence=sequence, record=record)
        )

    def flush(self, host: SimulatedHost, n_records: int, *, lost: bool) -> None:
        """Append a host's oldest records; a lost reply leaves them queued."""
        for envelope in host.outbox[:n_records]:
            self.append(envelope)
        if not lost:
            del host.outbox[:n_records]

    def read(self, host: SimulatedHost, n_records: int) -> None:
        """Fold the next records of the log on a host."""
        start = host.state.next_offset
        for offset in range(start, min(len(self.log), start + n_records)):
            envelope = self.log[offset]
            verdict = fold_ledger_envelope(host.state, offset, envelope)
            assert repr(host.state) == self.fingerprints[offset], "folds differ"
            if envelope.incarnation == host.name:
                amount = verdict.amount if isinstance(verdict, Accepted) else 0
                host.resolve(envelope.sequence, amount)
        host.table.forget_closed(host.state.draws)

    def restore(self, host: SimulatedHost, source: SimulatedHost) -> None:
        """Replace a host's state by a checkpoint of another host, if that is newer."""
        if source.state.next_offset <= host.state.next_offset:
            return
        packed = pack_state(LEDGER_STATE_ADAPTER, source.state)
        host.state = unpack_state(LEDGER_STATE_ADAPTER, packed)
        last = host.state.sequences.get(host.name, -1)
        for sequence in [number for number in host.pending if number <= last]:
            host.resolve(sequence, 0)

    def exchange(self, lagging: SimulatedHost | None = None) -> None:
        """Let every running host except `lagging` append and read everything."""
        running = [
            host for host in self.hosts if host.is_running and host is not lagging
        ]
        for host in running:
            self.flush(host, len(host.outbox), lost=False)
        for host in running:
            self.read(host, len(self.log))

    def draw(self, host: SimulatedHost, tokens: int, rate: float, witness: str) -> None:
        """Request a draw as the controller does, one at a time."""
        if any(isinstance(record, Draw) for record in host.pending.values()):
            return
        usable = max(0, host.pool.count_usable(host.state.draws))
        minimum = max(1, tokens - usable)
        snapshot = self.make_snapshot(host, rate)
        amount = self.policy.compute_draw(snapshot, minimum)
        host.submit(
            host.pool.make_draw(amount=amount, minimum=minimum, witness=witness)
        )

    def make_snapshot(self, host: SimulatedHost, rate: float) -> AccountSnapshot:
        """Return the account as the policy sees it."""
        return AccountSnapshot(
            paid=host.account.paid,
            free=host.account.free,
            drawn=host.pool.drawn,
            held=host.pool.held,
            demand_rate=rate,
            idle_s=0.0,
            n_hosts=3,
            returnable=False,
            preference=Preference.AVOID_REFUSALS,
        )

    def reserve(
        self, host: SimulatedHost, key: str, tokens: int, *, fenced: bool
    ) -> None:
        """Hold tokens for a request if the draws have enough."""
        if host.pool.count_usable(host.state.draws) < tokens:
            return
        draw = host.pool.get_or_open_draw(NO_WITNESS)
        self.n_requests += 1
        name = f"request-{self.n_requests}"
        hold = draw.add_hold(
            request=name, key=key, tokens=tokens, targets=[ENGINE] if fenced else []
        )
        host.requests.append(
            Request(name=name, key=key, tokens=tokens, draw=draw, number=hold.number)
        )

    def call_witness(self, host: SimulatedHost) -> None:
        """Send the witness of the current draw the bound that it has not confirmed."""
        draw = host.pool.current
        if draw is None or draw.draw in host.calls or draw.witness == NO_WITNESS:
            return
        bound = draw.propose_bound(STREAM)
        if bound is not None:
            call = WitnessCall(holder=host, draw=draw, bound=bound)
            host.calls[draw.draw] = call
            self.calls_in_flight.append(call)

    def deliver_call(self, call: WitnessCall, *, repeat: bool) -> None:
        """Deliver a message to the witness; with `repeat` it also stays in flight."""
        if not repeat:
            self.calls_in_flight.remove(call)
        witness = next(host for host in self.hosts if host.name == call.draw.witness)
        if not witness.is_running:
            return
        state = witness.state.draws.get(call.draw.draw)
        call.reply = witness.table.answer(call.bound, state)

    def receive_reply(self, host: SimulatedHost, name: str, *, lost: bool) -> None:
        """Receive the reply to a call, or treat it as lost."""
        call = host.calls[name]
        reply = None if lost else call.reply
        if reply is None and not lost:
            return
        del host.calls[name]
        if reply is not None and reply.allowed:
            call.draw.confirm_bound(call.bound)
        elif (reply is None or reply.known) and host.pool.current is call.draw:
            host.pool.retire_current()

    def send(self, host: SimulatedHost, request: Request) -> None:
        """Send a request if its hold is confirmed, else end it unsent."""
        if request.was_sent:
            return
        hold = request.draw.holds[request.number]
        if hold.confirmed:
            request.was_sent = True
            self.requests_in_flight.append((request, hold.tokens))
        else:
            self.end(host, request, 0)

    def deliver_request(self, place: int, tokens: int) -> None:
        """Deliver a sent request to the engine, however late."""
        request, limit = self.requests_in_flight.pop(place)
        if request.name not in self.engine.cancelled:
            self.engine.runs[request.name] = EngineRun(
                key=request.key, limit=limit, tokens=min(tokens, limit)
            )

    def generate(self, request: Request, tokens: int) -> None:
        """Let the engine execute more of a request unless it was cancelled."""
        run = self.engine.runs.get(request.name)
        if run is not None and request.name not in self.engine.cancelled:
            run.tokens = min(run.limit, run.tokens + tokens)

    def finish(self, host: SimulatedHost, request: Request) -> None:
        """End a sent request with the tokens that the engine reports."""
        if request.was_sent:
            self.end(host, request, self.engine.cancel(request.name))

    def end(self, host: SimulatedHost, request: Request, tokens: int) -> None:
        """Settle the hold of a request on its host."""
        host.requests.remove(request)
        request.draw.settle_hold(request.number, tokens)

    def settle(self, host: SimulatedHost) -> None:
        """Queue the settlements that the log does not have yet."""
        for draw, record in list(host.pool.make_settlements(host.state.draws)):
            draw.settling = True
            host.submit(record)
        host.pool.drop_closed(host.state.draws)

    def return_tokens(self, host: SimulatedHost, tokens: int) -> None:
        """Queue a return of tokens that no request holds."""
        usable = host.pool.count_usable(host.state.draws)
        record = host.pool.make_return(min(tokens, usable))
        if record is not None:
            host.submit(record)

    def seal(self, host: SimulatedHost) -> None:
        """Let a host seal every open draw that it is the witness of."""
        for name, draw in list(host.state.draws.items()):
            if draw.witness == host.name and draw.status is DrawStatus.OPEN:
                record = host.table.seal(name, draw)
                if record is not None:
                    host.submit(record)

    def recover(self, host: SimulatedHost) -> None:
        """Let a host resolve doubtful holds with the engine's figures."""
        for name, draw in list(host.state.draws.items()):
            if draw.status is not DrawStatus.SEALED:
                continue
            requests = tuple(
                BilledRequest(
                    key=hold.key,
                    tokens=self.engine.cancel(hold.request),
                    number=number,
                )
                for number, hold in draw.doubtful.items()
                if hold.targets
            )
            if requests:
                host.submit(Resolve(draw=name, requests=requests))

    def compute_possible_tokens_by_key(self) -> dict[str, int]:
        """Return the largest run of each key that is still possible, in tokens."""
        possible_by_key = self.engine.compute_max_tokens_by_key()
        sent = [
            (request.name, request.key, limit)
            for request, limit in self.requests_in_flight
        ]
        sent += [(name, run.key, run.limit) for name, run in self.engine.runs.items()]
        for host in self.hosts:
            sent += [
                (request.name, request.key, request.tokens)
                for request in host.requests
                if not host.is_dead
                and not request.was_sent
                and request.draw.holds[request.number].confirmed
            ]
        for name, key, limit in sent:
            if name not in self.engine.cancelled:
                possible_by_key[key] = max(possible_by_key.get(key, 0), limit)
        return possible_by_key

    def check(self) -> None:
        """Check the invariants that must hold after every step."""
        self._check_amounts()
        max_tokens_by_key = self.engine.compute_max_tokens_by_key()
        total = sum(max_tokens_by_key.values())
        assert total <= self.peak_paid, f"executed {total}, paid {self.peak_paid}"
        account = self.oracle.accounts[ACCOUNT]
        taken = account.paid - account.free
        possible = sum(self.compute_possible_tokens_by_key().values())
        assert possible <= taken, f"may execute {possible}, taken {taken}"
        for billed, tokens in self.oracle.billed.items():
            key = billed.removeprefix(f"{ACCOUNT}/")
            assert tokens <= max_tokens_by_key.get(key, 0), (
                f"{key} billed above its runs"
            )

        for host in self.hosts:
            self._check_draws(host)

    def _check_draws(self, host: SimulatedHost) -> None:
        for draw in host.pool.list_draws():
            state = self.oracle.draws.get(draw.draw)
            if state is None or state.status is not DrawStatus.OPEN:
                continue
            assert draw.committed <= state.amount, (
                f"{draw.draw} holds more than it drew"
            )
            assert draw.spent >= state.spent

    def _check_amounts(self) -> None:
        account = self.oracle.accounts[ACCOUNT]
        draws = self.oracle.draws.values()
        held = sum(draw.charge for draw in draws)
        assert account.held == held, f"held {account.held}, draws hold {held}"
        assert (
            account.paid + account.credit
            == account.free + account.held + account.closed_spend
        )
        spent = account.closed_spend + sum(draw.spent for draw in draws)
        billed = sum(self.oracle.billed.values())
        assert spent - account.credit == billed, "a key was not billed once"
        for draw in draws:
            doubt = sum(hold.doubt for hold in draw.doubtful.values())
            assert draw.doubt == doubt
            assert draw.spent <= draw.amount
