"""Fuzz the configuration's fold on several hosts with faults in random order."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.fuzz.configuration_host import SimulatedHost, pack_configuration
from tests.fuzz.configuration_oracle import Oracle
from trefoilstage.components.log_client.checkpoints import split_checkpoint
from trefoilstage.configuration.merge import merge_files
from trefoilstage.configuration.records import HostDown, HostUp, Publish, Remove
from trefoilstage.ledger.records import SetLimit

N_HOSTS = 3
PLACES = st.integers(min_value=0, max_value=N_HOSTS - 1)
PICKS = st.integers(min_value=0, max_value=9)
NAMES = st.sampled_from(["10-a.toml", "20-b.toml", "30-c.toml"])
CONTENTS = st.sampled_from(
    [
        "",
        "[budgets.x]\ntokens = 1\n",
        "[budgets.x]\ntokens = 2\n",
        "[budgets.y]\ntokens = 3\n[budgets.x]\ntokens = 4\n",
        '[budgets.x]\npreference = "avoid-refusals"\n',
        '[workspaces.w]\nbudget = "x"\n',
        '[workspaces.w]\nbudget = "y"\npriority = 7\n',
        '[workspaces.v]\nbudget = "x"\npriority = 70\n',
        '[sites.s]\ndata_center = "brest"\nceiling_watts = 500\n',
        '[models.m]\n[targets.t]\nmodel = "m"\nsite = "s"\nurl = "http://h:1"\n'
        "idle_watts = 90\n",
        "budgets = 3\n",
        "[budgets]\nx = 3\n",
        "[budgets.X]\ntokens = 3\n",
        "[fleet]\nledger_streams = 1\n",
        "[fleet]\nledger_streams = 2\n",
        "[budgets.x.deep.a.b.c.d.e.f.g.h]\ni = 1\n",
        "tokens = " + "9" * 5000,
        "not toml",
    ]
)

CI_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Publish concurrently through hosts that lag, die and start from checkpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.log: dict[int, bytes] = {}
        self.next_offset = 0
        self.earliest = 0
        self.oracles = [Oracle()]
        self.hosts = [SimulatedHost(incarnation=f"h{n}") for n in range(N_HOSTS)]
        self.n_started = N_HOSTS
        self.n_operations = 0
        self.changes: list[Publish | Remove] = []
        self.landed: list[bytes] = []
        self.limits: list[bytes] = []
        self.revisions = [-1] * N_HOSTS

    def append(self, data: bytes, record: object = None, writer: str = "") -> None:
        """Append bytes to the log and apply their record to the oracle."""
        oracle = self.oracles[-1].copy()
        oracle.apply_record(self.next_offset, writer, record)
        self.log[self.next_offset] = data
        self.next_offset += 1
        self.oracles.append(oracle)

    def pick_base(self, host: SimulatedHost, name: str, stale: int) -> int:
        """Return a file's revision as a host knows it, or an older one."""
        present = host.blackboard.config.files.get(name)
        known = present.revision if present else -1
        return known if stale % 4 else min(known, stale)

    def send(self, host: SimulatedHost, record: object) -> None:
        """Append a record of a host; `land_again` may append it a second time."""
        data = host.encode(record)
        self.landed.append(data)
        self.append(data, record, host.incarnation)

    @rule(which=PICKS)
    def land_again(self, which: int) -> None:
        if self.landed:
            self.append(self.landed[-1 - which % len(self.landed)])

    @rule(place=PLACES, name=st.sampled_from(["a", "b"]))
    def announce(self, place: int, name: str) -> None:
        url = "http://h:1"
        record = HostUp(
            host=name, data_center="d", caller_url=url, operator_url=url, peer_url=url
        )
        self.send(self.hosts[place], record)

    @rule(place=PLACES)
    def leave(self, place: int) -> None:
        host = self.hosts[place]
        self.send(host, HostDown(incarnation=host.incarnation))

    @rule(place=PLACES, name=NAMES, text=CONTENTS, stale=PLACES)
    def publish(self, place: int, name: str, text: str, stale: int) -> None:
        host = self.hosts[place]
        self.n_operations += 1
        record = Publish(
            operation=f"op-{self.n_operations}",
            name=name,
            content=text,
            base_revision=self.pick_base(host, name, stale),
        )
        self.changes.append(record)
        self.send(host, record)

    @rule(place=PLACES, name=NAMES, stale=PLACES)
    def remove(self, place: int, name: str, stale: int) -> None:
        host = self.hosts[place]
        self.n_operations += 1
        record = Remove(
            operation=f"op-{self.n_operations}",
            name=name,
            base_revision=self.pick_base(host, name, stale),
        )
        self.changes.append(record)
        self.send(host, record)

    @rule(place=PLACES, which=PICKS)
    def send_again_elsewhere(self, place: int, which: int) -> None:
        if self.changes:
            record = self.changes[-1 - which % len(self.changes)]
            self.send(self.hosts[place], record)

    @rule(data=st.binary(max_size=40))
    def poison(self, data: bytes) -> None:
        self.append(data)

    @rule(place=PLACES, n_records=st.integers(min_value=1, max_value=20))
    def read(self, place: int, n_records: int) -> None:
        self.hosts[place].read(self.log, self.earliest, n_records)

    @rule(place=PLACES)
    def checkpoint(self, place: int) -> None:
        host = self.hosts[place]
        if host.config.next_offset > 0:
            for part in split_checkpoint(pack_configuration(host)):
                self.append(host.encode(part))

    @rule(count=st.integers(min_value=1, max_value=15))
    def expire(self, count: int) -> None:
        # Running hosts write checkpoints often enough that one is always retained.
        newest = max(host.config.next_offset for host in self.hosts)
        for offset in range(self.earliest, min(self.earliest + count, newest)):
            del self.log[offset]
            self.earliest = offset + 1

    @rule(place=PLACES)
    def replace(self, place: int) -> None:
        others = [host for host in self.hosts if host is not self.hosts[place]]
        if max(host.config.next_offset for host in others) < self.earliest:
            return
        self.n_started += 1
        self.hosts[place] = SimulatedHost(incarnation=f"h{self.n_started}")
        self.revisions[place] = -1

    @rule(place=PLACES)
    def sync_limits(self, place: int) -> None:
        host = self.hosts[place]
        for account, wanted in host.blackboard.config.limits.items():
            present = host.ledger.state.accounts.get(account)
            if present is None or present.revision < wanted.revision:
                record = SetLimit(
                    account=account, limit=wanted.limit, revision=wanted.revision
                )
                host.ledger_sequence += 1
                self.limits.append(
                    host.ledger.encode(host.incarnation, host.ledger_sequence, record)
                )

    @rule(place=PLACES, count=st.integers(min_value=1, max_value=5))
    def read_limits(self, place: int, count: int) -> None:
        ledger = self.hosts[place].ledger
        start = ledger.next_offset
        for offset in range(start, min(start + count, len(self.limits))):
            ledger.fold(offset, ledger.decode(self.limits[offset]))

    @invariant()
    def every_host_holds_what_the_log_says(self) -> None:
        for place, host in enumerate(self.hosts):
            state = host.blackboard.config
            oracle = self.oracles[state.next_offset]
            contents = {name: item.content for name, item in state.files.items()}
            assert contents == oracle.contents
            found = {name: item.revision for name, item in state.files.items()}
            assert found == oracle.revisions
            hosts = {name: item.incarnation for name, item in state.hosts.items()}
            assert hosts == oracle.hosts
            operations = [item.operation for item in state.history]
            assert len(operations) == len(set(operations))
            whole = merge_files(contents).configuration
            assert whole is not None
            assert state.configuration.model_dump() == whole.model_dump()
            assert state.revision >= self.revisions[place], "reverted"
            self.revisions[place] = state.revision

    @invariant()
    def limits_are_never_older_than_once_set(self) -> None:
        newest: dict[str, int] = {}
        for offset, data in enumerate(self.limits):
            record = self.hosts[0].ledger.decode(data).record
            assert isinstance(record, SetLimit)
            newest[record.account] = max(
                newest.get(record.account, -1), record.revision
            )
            for host in self.hosts:
                if host.ledger.next_offset == offset + 1:
                    account = host.ledger.state.accounts[record.account]
                    assert account.revision == newest[record.account]

    def teardown(self) -> None:
        """Let every host read the whole log and check that all agree."""
        reader = max(self.hosts, key=lambda host: host.config.next_offset)
        reader.read(self.log, self.earliest, len(self.log))
        for part in split_checkpoint(pack_configuration(reader)):
            self.append(reader.encode(part))
        for host in self.hosts:
            host.read(self.log, self.earliest, len(self.log))
            assert host.config.next_offset == self.next_offset
        states = [host.blackboard.config for host in self.hosts]
        for state in states:
            assert state.history == states[0].history
            assert state.limits == states[0].limits
        self.sync_limits(0)
        self.read_limits(0, len(self.limits))
        for account, wanted in states[0].limits.items():
            assert self.hosts[0].ledger.state.accounts[account].limit == wanted.limit


class ConfigurationMachineTest(unittest.TestCase):
    """Run the machine on a fixed set of examples."""

    def test_accepted_never_reverts_and_every_host_agrees(self) -> None:
        run_state_machine_as_test(ConfigurationMachine, settings=CI_SETTINGS)

    def test_late_limit_does_not_undo_a_newer_one(self) -> None:
        """Raise a budget and set it back while one host lags.

        The lagging host writes the raised limit after the others wrote the lower
        one again. The raised limit must not take effect: the lower one is the
        operator's last accepted change, and draws beyond it would be overspend.
        """
        host = SimulatedHost(incarnation="h")
        limits = []
        for number, tokens in enumerate([100, 200, 100]):
            base = host.blackboard.config.files.get("10-a.toml")
            record = Publish(
                operation=f"op-{number}",
                name="10-a.toml",
                content=f"[budgets.x]\ntokens = {tokens}\n",
                base_revision=base.revision if base else -1,
            )
            host.config.fold(number, host.config.decode(host.encode(record)))
            limits.append(host.blackboard.config.limits["budget:x"])
        order = [limits[0], limits[2], limits[1]]
        for number, limit in enumerate(order):
            change = SetLimit(
                account="budget:x", limit=limit.limit, revision=limit.revision
            )
            data = host.ledger.encode(f"writer-{number}", 0, change)
            host.ledger.fold(number, host.ledger.decode(data))
        self.assertEqual(host.ledger.state.accounts["budget:x"].limit, 100)


if __name__ == "__main__":
    unittest.main()
