"""Format the outcomes of an emulated day as tables and plot them."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from statistics import quantiles

from bench.emulator.callers import Outcome, Result
from bench.emulator.world import DayResult

WINDOW_S = 2.0
COLORS = {
    Result.IN_TIME: "tab:green",
    Result.LATE: "tab:orange",
    Result.REFUSED: "tab:blue",
    Result.FAILED: "tab:red",
}


def compute_share(outcomes: Sequence[Outcome], result: Result) -> float:
    """Return the share of requests with a result, 0 without requests."""
    if not outcomes:
        return 0.0
    return sum(item.result is result for item in outcomes) / len(outcomes)


def compute_percentile(outcomes: Iterable[Outcome], percent: int) -> float:
    """Return a percentile of the seconds to the first event, 0 with fewer than two."""
    firsts = [item.first_event_s for item in outcomes if item.first_event_s is not None]
    return quantiles(firsts, n=100)[percent - 1] if len(firsts) > 1 else 0.0


def group_by_window(outcomes: Iterable[Outcome]) -> dict[float, list[Outcome]]:
    """Group requests by the window of WINDOW_S in which they were first sent."""
    begin = min((item.requested_at for item in outcomes), default=0.0)
    groups: dict[float, list[Outcome]] = defaultdict(list)
    for item in outcomes:
        groups[(item.requested_at - begin) // WINDOW_S * WINDOW_S].append(item)
    return dict(sorted(groups.items()))


def format_groups(title: str, groups: dict[str, list[Outcome]]) -> list[str]:
    """Return the lines of a table with one row per group."""
    lines = [
        f"| {title} | requests | in time | late | refused | failed | p50 s | p90 s |"
    ]
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, outcomes in groups.items():
        counts = Counter(item.result for item in outcomes)
        cells = [str(counts[result]) for result in Result]
        p50, p90 = (compute_percentile(outcomes, percent) for percent in (50, 90))
        row = [name, str(len(outcomes)), *cells, f"{p50:.2f}", f"{p90:.2f}"]
        lines.append(f"| {' | '.join(row)} |")
    return lines


def format_day(day: DayResult) -> str:
    """Return tables of outcomes by kind and by window, and the totals of the day."""
    kinds: dict[str, list[Outcome]] = defaultdict(list)
    for item in day.outcomes:
        kinds[item.kind].append(item)
    windows = {
        f"{begin:.0f} s": items
        for begin, items in group_by_window(day.outcomes).items()
    }
    engines = day.engine_totals
    lines = format_groups("kind", dict(sorted(kinds.items())))
    lines += ["", *format_groups("from", windows), ""]
    lines.append(
        f"prompt tokens prefilled {engines.n_prefilled}, "
        f"of these again {engines.n_prefilled_again}; "
        f"found in cache {engines.n_found_in_cache}; "
        f"requests preempted {engines.n_preempted}; "
        f"tokens fetched {engines.n_fetched} in {engines.n_fetches} fetches, "
        f"{engines.n_empty_fetches} of them empty; "
        f"store calls {day.n_store_calls}; messages {day.n_messages}"
    )
    return "\n".join(lines)


def plot_day(day: DayResult, path: Path) -> None:
    """Plot the results and the times to the first event by window to a file."""
    # Imported here because loading takes half a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 7))
    counts, firsts = figure.subplots(2, 1, sharex=True)
    windows = group_by_window(day.outcomes)
    bottoms = [0.0] * len(windows)
    for result in Result:
        heights = [
            float(sum(item.result is result for item in items))
            for items in windows.values()
        ]
        counts.bar(
            list(windows),
            heights,
            bottom=bottoms,
            width=0.9 * WINDOW_S,
            align="edge",
            color=COLORS[result],
            label=result.value,
        )
        bottoms = [a + b for a, b in zip(bottoms, heights, strict=True)]
    counts.set_ylabel("requests")
    counts.legend()
    for percent in (50, 90, 99):
        values = [compute_percentile(items, percent) for items in windows.values()]
        firsts.plot(list(windows), values, label=f"p{percent}")
    firsts.set_ylabel("first event, s")
    firsts.set_xlabel("sent at, s")
    firsts.legend()
    figure.savefig(path)
