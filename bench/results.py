"""Store results as JSON and print them side by side."""

import json
import statistics
from dataclasses import asdict, dataclass
from pathlib import Path

RESULTS_FOLDER = Path("results")


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Describe the measures of each repeat of one variant."""

    scenario: str
    variant: str
    repeats: list[dict[str, float]]

    def get_values(self, name: str) -> list[float]:
        """Return a measure's values over the repeats."""
        return [repeat[name] for repeat in self.repeats if name in repeat]


def write_result(result: Result) -> Path:
    """Write a result to its file and return the path."""
    RESULTS_FOLDER.mkdir(exist_ok=True)
    path = RESULTS_FOLDER / f"{result.scenario}--{result.variant}.json"
    path.write_text(json.dumps(asdict(result), indent=2) + "\n")
    return path


def read_result(path: Path) -> Result:
    """Return the result that a file holds."""
    return Result(**json.loads(path.read_text()))


def print_results(results: list[Result]) -> None:
    """Print medians with their spread, and ratios to the first result."""
    names = sorted({name for item in results for one in item.repeats for name in one})
    width = max(map(len, names))
    head = "  ".join(item.variant.rjust(30) for item in results)
    print(f"{'measure'.ljust(width)}  {head}")
    for name in names:
        cells = [format_cell(item, results[0], name) for item in results]
        print(f"{name.ljust(width)}  {'  '.join(cells)}")


def format_cell(result: Result, first: Result, name: str) -> str:
    """Return a median, its range and its ratio to the first result."""
    values = result.get_values(name)
    if not values:
        return "-".rjust(30)
    median = statistics.median(values)
    cell = format_number(median)
    if len(values) > 1:
        cell += f" [{format_number(min(values))}..{format_number(max(values))}]"
    base = first.get_values(name)
    if result is not first and base and statistics.median(base):
        cell += f" x{median / statistics.median(base):.2f}"
    return cell.rjust(30)


def format_number(value: float) -> str:
    """Return an integer in full and any other number with four digits."""
    if value == int(value) and abs(value) < 1e9:
        return str(int(value))
    return f"{value:.4g}"
