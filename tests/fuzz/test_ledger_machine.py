"""Fuzz the ledger, draws and witnesses with faults in random order."""

import unittest
from enum import IntEnum

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.fuzz.ledger_actors import SimulatedHost
from tests.fuzz.ledger_world import World
from trefoilstage.components.budget.draw_pool import NO_WITNESS

N_HOSTS = 3
MAX_HOSTS = 5
KEYS = st.sampled_from(["k0", "k1"])
AMOUNTS = st.integers(min_value=1, max_value=40)
PLACES = st.integers(min_value=0, max_value=N_HOSTS - 1)
COUNTS = st.integers(min_value=1, max_value=3)
LIMITS = st.integers(min_value=0, max_value=300)
RATES = st.sampled_from([0.0, 5.0, 100.0])


class Stage(IntEnum):
    """Name the stage that a request reaches before the next fault."""

    HELD = 0
    WITNESS_CALLED = 1
    CONFIRMED = 2
    SENT = 3
    ARRIVED = 4
    ENDED = 5
    SETTLED = 6


STAGES = st.sampled_from(list(Stage))

CI_SETTINGS = settings(
    max_examples=500,
    stateful_step_count=80,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class LedgerMachine(RuleBasedStateMachine):
    """Let any host take any step, lose any message and die at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(n_hosts=N_HOSTS, tokens=150)

    def pick(self, place: int) -> SimulatedHost:
        """Return a host by its place, counted from the newest host."""
        return self.world.hosts[-1 - place]

    def pick_running(self, place: int) -> SimulatedHost | None:
        """Return a host by its place, None if it is not running."""
        host = self.pick(place)
        return host if host.is_running else None

    def draw(self, host: SimulatedHost, tokens: int, rate: float) -> None:
        """Draw with a peer as witness; every seventh amount has no witness."""
        peers = [peer for peer in self.world.hosts if peer is not host]
        witness = peers[tokens % len(peers)].name if tokens % 7 else NO_WITNESS
        self.world.draw(host, tokens, rate, witness)

    @rule(place=PLACES, key=KEYS, tokens=AMOUNTS, rate=RATES, stage=STAGES, lag=PLACES)
    def request(
        self, place: int, key: str, tokens: int, rate: float, stage: Stage, lag: int
    ) -> None:
        """Take a request up to a stage."""
        host = self.pick_running(place)
        if host is None:
            return
        world = self.world
        if host.pool.count_usable(host.state.draws) < tokens:
            world.exchange()
            self.draw(host, tokens, rate)
            world.exchange()
        world.reserve(host, key, tokens, fenced=tokens % 5 > 0)
        if stage >= Stage.WITNESS_CALLED:
            world.call_witness(host)
        if stage >= Stage.CONFIRMED:
            self.confirm_all(host)
        if stage >= Stage.SENT:
            self.run_all(host, tokens, stage)
        if stage >= Stage.SETTLED:
            world.settle(host)
            world.exchange(self.pick(lag))

    def run_all(self, host: SimulatedHost, tokens: int, stage: Stage) -> None:
        """Take a host's confirmed requests up to a stage."""
        world = self.world
        for request in list(host.requests):
            world.send(host, request)
        if stage >= Stage.ARRIVED:
            self.arrive_all(tokens)
        if stage >= Stage.ENDED:
            for request in list(host.requests):
                world.finish(host, request)
            self.confirm_all(host)

    def confirm_all(self, host: SimulatedHost) -> None:
        """Deliver a host's calls with their replies, twice."""
        world = self.world
        for _ in range(2):
            for name, call in list(host.calls.items()):
                if call in world.calls_in_flight:
                    world.deliver_call(call, repeat=False)
                world.receive_reply(host, name, lost=False)
            world.call_witness(host)

    def arrive_all(self, tokens: int) -> None:
        """Deliver all sent requests to the engine."""
        while self.world.requests_in_flight:
            self.world.deliver_request(0, tokens)

    @rule(place=PLACES, tokens=AMOUNTS, rate=RATES)
    def draw_more(self, place: int, tokens: int, rate: float) -> None:
        if host := self.pick_running(place):
            self.draw(host, tokens, rate)

    @rule(place=PLACES, number=PLACES, lost=st.booleans(), repeat=st.booleans())
    def pass_message(self, place: int, number: int, lost: bool, repeat: bool) -> None:
        """Lose, repeat or deliver calls to witnesses in any order."""
        calls = self.world.calls_in_flight
        if calls:
            call = calls[number % len(calls)]
            if lost and not repeat:
                calls.remove(call)
            else:
                self.world.deliver_call(call, repeat=repeat)
        if host := self.pick_running(place):
            for name in list(host.calls):
                self.world.receive_reply(host, name, lost=lost)
            self.world.call_witness(host)

    @rule(place=PLACES, number=PLACES, tokens=AMOUNTS, ends=st.booleans())
    def run_request(self, place: int, number: int, tokens: int, ends: bool) -> None:
        """Deliver one request; send, run or end another."""
        world = self.world
        if world.requests_in_flight:
            world.deliver_request(number % len(world.requests_in_flight), tokens)
        requests = self.pick(place).requests
        if not requests:
            return
        request = requests[number % len(requests)]
        world.generate(request, tokens)
        host = self.pick_running(place)
        if host is None:
            return
        if request.was_sent and ends:
            world.finish(host, request)
        else:
            world.send(host, request)

    @rule(place=PLACES, tokens=AMOUNTS, settles=st.booleans())
    def tell_log(self, place: int, tokens: int, settles: bool) -> None:
        """Settle requests or return tokens."""
        if host := self.pick_running(place):
            if settles:
                self.world.settle(host)
            else:
                self.world.return_tokens(host, tokens)
            self.world.flush(host, tokens % 4, lost=tokens % 3 == 0)

    @rule(place=PLACES, n_records=COUNTS, lost=st.booleans())
    def flush(self, place: int, n_records: int, lost: bool) -> None:
        """Append queued records, including those in flight from a killed host."""
        self.world.flush(self.pick(place), n_records, lost=lost)

    @rule(place=PLACES, n_records=COUNTS, source=PLACES, restores=st.booleans())
    def read(self, place: int, n_records: int, source: int, restores: bool) -> None:
        """Read records, possibly after another host's checkpoint."""
        if host := self.pick_running(place):
            if restores:
                self.world.restore(host, self.pick(source))
            self.world.read(host, n_records)

    @rule(lag=PLACES)
    def exchange(self, lag: int) -> None:
        self.world.exchange(self.pick(lag))

    @rule(place=PLACES)
    def seal(self, place: int) -> None:
        """Let a witness seal its holders' draws, whether or not they are alive."""
        if host := self.pick_running(place):
            self.world.seal(host)
            self.world.flush(host, len(host.outbox), lost=False)

    @rule(place=PLACES)
    def recover(self, place: int) -> None:
        if host := self.pick_running(place):
            self.world.read(host, len(self.world.log))
            self.world.recover(host)
            self.world.flush(host, len(host.outbox), lost=False)

    @rule(place=PLACES)
    def freeze_or_wake(self, place: int) -> None:
        host = self.pick(place)
        host.is_frozen = not host.is_frozen

    @precondition(lambda self: len(self.world.hosts) < MAX_HOSTS)
    @rule(place=PLACES, retires=st.booleans())
    def lose_host(self, place: int, retires: bool) -> None:
        """Replace a host, or retire its draw as if the witness were lost."""
        host = self.pick(place)
        if retires:
            if host.is_running:
                host.pool.retire_current()
                self.world.settle(host)
            return
        host.is_dead = True
        self.world.add_host()

    @rule(tokens=LIMITS, changes_limit=st.booleans(), again=st.booleans())
    def change_paid(self, tokens: int, changes_limit: bool, again: bool) -> None:
        if tokens % 3:
            return
        if changes_limit:
            self.world.set_limit(tokens)
        else:
            self.world.top_up(tokens // 8, again=again)

    @invariant()
    def check(self) -> None:
        self.world.check()


class LedgerMachineTest(unittest.TestCase):
    """Run the machine on a fixed set of examples."""

    def test_nothing_is_overspent_and_each_key_is_billed_once(self) -> None:
        run_state_machine_as_test(LedgerMachine, settings=CI_SETTINGS)


if __name__ == "__main__":
    unittest.main()
