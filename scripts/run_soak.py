"""Run soak tests with consecutive seeds and print their findings."""

import argparse
import asyncio
import sys

from tests.soak.kinds import SeedKind
from tests.soak.soak import run_soak_seed


def main() -> None:
    """Run the given seeds; exit with 1 if one of them had a finding."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="the number of seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="the duration of each seed"
    )
    parser.add_argument("--kind", type=SeedKind, help="the seeds' own if not given")
    arguments = parser.parse_args()
    n_failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = asyncio.run(run_soak_seed(seed, arguments.seconds, arguments.kind))
        n_failed += bool(result.findings)
        print(
            f"seed={seed} kind={result.kind} fetches={result.n_fetches}"
            f" overloaded={result.n_overloaded} requests={result.n_requests}"
            f" served={result.n_served}"
            f" statuses={result.statuses}"
            f" faults={len(result.faults)} findings={len(result.findings)}",
            flush=True,
        )
        for finding in result.findings:
            print(f"  {finding}", flush=True)
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
