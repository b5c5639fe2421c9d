"""Run the state machines of tests/fuzz with new seeds for a given time."""

import argparse
import importlib
import inspect
import random
import sys
import time
from pathlib import Path

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

TESTS_FOLDER = Path("tests/fuzz")
EXAMPLES_PER_SEED = 300
STEPS_PER_EXAMPLE = 100
SECONDS_PER_MINUTE = 60


def list_machines(names: list[str]) -> list[type[RuleBasedStateMachine]]:
    """Return the machines of tests/fuzz, only those in `names` if it has any."""
    machines = []
    for path in sorted(TESTS_FOLDER.glob("test_*_machine.py")):
        module = importlib.import_module(f"tests.fuzz.{path.stem}")
        for name, item in sorted(vars(module).items()):
            is_machine = inspect.isclass(item) and issubclass(
                item, RuleBasedStateMachine
            )
            if is_machine and item.__module__ == module.__name__:
                machines.append((name, item))
    return [item for name, item in machines if not names or name in names]


def run_machine(machine: type[RuleBasedStateMachine], seed_number: int) -> bool:
    """Run a machine with a seed and return whether its invariants held."""
    profile = settings(
        max_examples=EXAMPLES_PER_SEED,
        stateful_step_count=STEPS_PER_EXAMPLE,
        database=None,
        deadline=None,
        phases=[Phase.generate, Phase.shrink],
        verbosity=Verbosity.normal,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    seeded = seed(seed_number)(type(machine.__name__, (machine,), {}))
    try:
        run_state_machine_as_test(seeded, settings=profile)
    except Exception as error:
        # Hypothesis raises the error of the example, with its steps as notes.
        print(f"FAILED {machine.__name__} seed={seed_number}: {error!r}")
        print("\n".join(getattr(error, "__notes__", [])))
        return False
    return True


def main() -> None:
    """Run the machines until the time is up; exit with 1 at the first failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, required=True)
    parser.add_argument(
        "--seed", type=int, default=random.SystemRandom().getrandbits(32)
    )
    parser.add_argument("machines", nargs="*")
    options = parser.parse_args()
    sys.path.insert(0, ".")
    machines = list_machines(options.machines)
    if not machines:
        sys.exit("no state machine has the given name")
    deadline = time.monotonic() + options.minutes * SECONDS_PER_MINUTE
    seed_number = options.seed
    n_runs = 0
    while time.monotonic() < deadline:
        for machine in machines:
            if not run_machine(machine, seed_number):
                sys.exit(1)
            n_runs += 1
        seed_number += 1
    n_examples = n_runs * EXAMPLES_PER_SEED
    print(f"{n_examples} examples passed, seeds {options.seed} to {seed_number - 1}")


if __name__ == "__main__":
    main()
