"""Create days for the emulator's tests."""

from bench.emulator.scenario import Fault, Scenario, load_scenario


def make_warm_day(n_hosts: int, duration_s: float, *faults: Fault) -> Scenario:
    """Return a day whose engines have no limit while they are cold."""
    scenario = load_scenario("cold-engines")
    engines = scenario.engines.model_copy(update={"cold_requests_per_s": None})
    changes = {"n_hosts": n_hosts, "duration_s": duration_s, "faults": faults}
    return scenario.model_copy(update={**changes, "engines": engines})
