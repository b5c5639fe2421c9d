"""Define the commands of trefoilstage-bench."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bench.emulator.results import format_day, plot_day
from bench.emulator.scenario import load_scenario as load_emulated
from bench.emulator.world import run_day
from bench.measure import run_variant
from bench.results import Result, print_results, read_result, write_result
from bench.scenario import list_scenarios, load_scenario
from bench.slopes import DEFAULT_SIZES, Axis, measure_axis, print_slopes

DEFAULT_VARIANT = "chosen"


@cappa.command(name="run")
@dataclass(kw_only=True)
class RunCommand:
    """Run each variant of a scenario once per repeat and compare the results."""

    name: Annotated[str, cappa.Arg(help="the scenario's name")]
    repeats: Annotated[int, cappa.Arg(long=True)] = 1
    variants: Annotated[
        str | None, cappa.Arg(long=True, help="comma-separated; all by default")
    ] = None

    def __call__(self) -> None:
        """Run the variants, write their results and print the table."""
        scenario = load_scenario(self.name)
        settings = {DEFAULT_VARIANT: {}, **scenario.variants}
        names = self.variants.split(",") if self.variants else list(settings)
        results = [
            Result(scenario=self.name, variant=name, repeats=[]) for name in names
        ]
        for number in range(self.repeats):
            seeded = scenario.model_copy(update={"seed": scenario.seed + number})
            for result in results:
                measures = asyncio.run(run_variant(seeded, settings[result.variant]))
                result.repeats.append(measures)
                write_result(result)
        print(f"{scenario.name}: {scenario.description}")
        print_results(results)


@cappa.command(name="compare")
@dataclass(kw_only=True)
class CompareCommand:
    """Compare result files; ratios are to the first file."""

    files: Annotated[list[Path], cappa.Arg(help="result files")]

    def __call__(self) -> None:
        """Print the table."""
        print_results([read_result(path) for path in self.files])


@cappa.command(name="slope")
@dataclass(kw_only=True)
class SlopeCommand:
    """Fit the cost of a host against one quantity, such as the number of hosts."""

    axis: Annotated[Axis, cappa.Arg(help="the quantity to vary")]
    sizes: Annotated[str | None, cappa.Arg(long=True, help="comma-separated sizes")] = (
        None
    )
    repeats: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Run the fleet at each size and print the fitted lines."""
        sizes = DEFAULT_SIZES[self.axis]
        if self.sizes:
            sizes = tuple(int(size) for size in self.sizes.split(","))
        print_slopes(self.axis, measure_axis(self.axis, sizes, self.repeats))


@cappa.command(name="emulate")
@dataclass(kw_only=True)
class EmulateCommand:
    """Run a scenario of the emulator in virtual time, once for each seed."""

    name: Annotated[str, cappa.Arg(help="the scenario's name")]
    seed: Annotated[int, cappa.Arg(long=True, help="the seed of the first day")] = 1
    days: Annotated[int, cappa.Arg(long=True, help="the number of seeds to run")] = 1
    plot: Annotated[
        Path | None, cappa.Arg(long=True, help="a file to plot the last day to")
    ] = None

    def __call__(self) -> None:
        """Run the days and print their tables."""
        scenario = load_emulated(self.name)
        for seed in range(self.seed, self.seed + self.days):
            day = run_day(scenario, seed)
            print(f"seed {seed}\n{format_day(day)}\n")
            if self.plot is not None:
                plot_day(day, self.plot)


@cappa.command(name="list")
@dataclass(kw_only=True)
class ListCommand:
    """List the scenarios that run real processes."""

    def __call__(self) -> None:
        """Print each name with its description."""
        for name in list_scenarios():
            print(f"{name}: {load_scenario(name).description}")


@cappa.command(name="trefoilstage-bench")
@dataclass(kw_only=True)
class Bench:
    """Measure fleets on the loopback interface and compare variants."""

    command: cappa.Subcommands[
        RunCommand | CompareCommand | SlopeCommand | EmulateCommand | ListCommand
    ]


def main() -> None:
    """Run the command that the arguments name."""
    cappa.invoke(Bench)


if __name__ == "__main__":
    main()
