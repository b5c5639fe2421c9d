"""Test which host runs an idempotency key, and which answers are kept."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from trefoilstage.components.keys.claims import ClaimTable
from trefoilstage.components.keys.messages import ClaimKey, ClaimReply
from trefoilstage.components.keys.runs import Run, RunTable
from trefoilstage.components.targets.models import Chunk

KEYS = st.sampled_from(["a", "b"])
DIGESTS = st.sampled_from(["body-1", "body-2"])
HOSTS = st.sampled_from(["brest", "quimper", "lorient"])


class ClaimMachine(RuleBasedStateMachine):
    """Claim keys from several hosts, and replace runs that they report as lost."""

    def __init__(self) -> None:
        super().__init__()
        self.table = ClaimTable(retention_s=100.0, max_claims=10)
        self.now = 0.0
        self.n_requests = 0
        self.owners: dict[str, ClaimKey] = {}
        self.claimed_at: dict[str, float] = {}

    def claim(self, message: ClaimKey) -> ClaimReply:
        """Claim a key, and check the reply against the key's one owner."""
        reply = self.table.handle_claim(message, now=self.now)
        owner = self.owners.get(message.key)
        if owner is None:
            assert reply.standing == "granted"
        elif owner.digest != message.digest:
            assert reply.standing == "conflict"
            return reply
        elif message.replaces != owner.request:
            assert reply.standing == "held"
            assert (reply.runner, reply.request) == (owner.runner, owner.request)
        else:
            assert reply.standing == "granted"
        if reply.standing == "granted":
            self.owners[message.key] = message
            self.claimed_at[message.key] = self.now
        return reply

    @rule(key=KEYS, digest=DIGESTS, host=HOSTS, twice=st.booleans())
    def retry(self, key: str, digest: str, host: str, twice: bool) -> None:
        """Claim a key; if it is held, report its run as lost once or twice."""
        self.n_requests += 1
        request = f"request-{self.n_requests}"
        message = ClaimKey(key=key, digest=digest, runner=host, request=request)
        reply = self.claim(message)
        if reply.standing != "held":
            return
        for number in range(1 + twice):
            self.claim(
                ClaimKey(
                    key=key,
                    digest=digest,
                    runner=host,
                    request=f"{request}/{number}",
                    replaces=reply.request,
                )
            )

    @rule(seconds=st.floats(min_value=0.0, max_value=60.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock; keys with expired claims are free again."""
        self.now += seconds
        for key, claimed_at in list(self.claimed_at.items()):
            if self.now - claimed_at >= 100.0:
                del self.claimed_at[key]
                del self.owners[key]

    @invariant()
    def has_bounded_size(self) -> None:
        """Check that the table has no more claims than there are keys."""
        assert len(self.table) <= 2


CI_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)


class ClaimTableTest(unittest.TestCase):
    """Test claims in generated orders."""

    def test_each_key_has_one_runner(self) -> None:
        run_state_machine_as_test(ClaimMachine, settings=CI_SETTINGS)


class RunTableTest(unittest.TestCase):
    """Test the limits of retained answers."""

    def test_kept_answers_are_bounded_by_age_and_size(self) -> None:
        table = RunTable(retention_s=10.0)
        for number in range(3):
            run = Run(
                key=f"key-{number}",
                digest="",
                request="",
                has_key=True,
                last_listened_at=0.0,
                ended_at=float(number),
                ended=True,
            )
            run.add(
                Chunk(data=b"." * 3_000_000, text="", usage=None, finish_reason=None)
            )
            table.add(run)
        table.drop_old_runs(3.0)
        self.assertEqual([run.key for run in table.list_runs()], ["key-1", "key-2"])
        table.drop_old_runs(11.5)
        self.assertEqual([run.key for run in table.list_runs()], ["key-2"])
