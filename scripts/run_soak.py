"""Play seeds of the soak one after the other and print what they found."""

import argparse
import asyncio
import sys

from tests.soak.soak import play


def main() -> None:
    """Play the seeds asked for; exit with 1 when one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="how many to play")
    parser.add_argument("--first", type=int, default=1, help="the first of them")
    parser.add_argument("--seconds", type=float, default=10.0, help="for each")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = asyncio.run(play(seed, arguments.seconds))
        failed += bool(result.findings)
        print(
            f"seed={seed} requests={result.n_requests} served={result.n_served}"
            f" faults={len(result.faults)} findings={len(result.findings)}",
            flush=True,
        )
        for finding in result.findings:
            print(f"  {finding}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
