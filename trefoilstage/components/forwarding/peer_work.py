"""Store the work of peer hosts at the targets until it expires; pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.work import Work

# A host that has not reported for this long is assumed to have no work in progress.
MAX_REPORT_AGE_S = 1.5
# The totals queried for one request are reused for the requests just after it.
MAX_TOTALS_AGE_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedReport:
    """Describe a host's work by target and when its report arrived."""

    work: Mapping[str, Work]
    received_at: float


@dataclass(kw_only=True, slots=True)
class PeerWork:
    """Store the latest report of each peer host."""

    reports: dict[str, ReceivedReport] = field(default_factory=dict)

    def receive_report(self, host: str, work: Mapping[str, Work], now: float) -> None:
        """Replace the previous report of a host."""
        self.reports[host] = ReceivedReport(work=work, received_at=now)

    def list_work(self, target: str, now: float, except_host: str = "") -> list[Work]:
        """Return the work of each peer at a target, without that of `except_host`."""
        return [
            report.work[target]
            for host, report in self.reports.items()
            if target in report.work
            and now - report.received_at <= MAX_REPORT_AGE_S
            and host != except_host
        ]

    def remove_expired(self, now: float) -> None:
        """Remove expired reports, such as those of replaced hosts."""
        self.reports = {
            host: report
            for host, report in self.reports.items()
            if now - report.received_at <= MAX_REPORT_AGE_S
        }


@dataclass(kw_only=True, slots=True)
class HomeTotals:
    """Store the totals that the homes of targets returned, by target."""

    totals: dict[str, Work] = field(default_factory=dict)
    recent: dict[str, int] = field(default_factory=dict)  # prompts of the last second
    received_at: dict[str, float] = field(default_factory=dict)

    def receive_totals(
        self, totals: Mapping[str, Work], recent: Mapping[str, int], now: float
    ) -> None:
        """Store the totals that the home of some targets returned."""
        self.totals.update(totals)
        self.recent.update({target: recent.get(target, 0) for target in totals})
        self.received_at.update(dict.fromkeys(totals, now))

    def list_work(self, target: str, now: float) -> list[Work]:
        """Return the total at a target, an empty list if it is too old."""
        return [self.totals[target]] if self._is_current(target, now) else []

    def count_recent(self, target: str, now: float) -> int:
        """Return the prompts that peers sent to a target, 0 if that is too old."""
        return self.recent[target] if self._is_current(target, now) else 0

    def _is_current(self, target: str, now: float) -> bool:
        received_at = self.received_at.get(target)
        return received_at is not None and now - received_at <= MAX_TOTALS_AGE_S

    def remove_expired(self, now: float) -> None:
        """Remove expired totals, such as those of restarted targets."""
        for target, received_at in list(self.received_at.items()):
            if now - received_at > MAX_TOTALS_AGE_S:
                del self.received_at[target]
                del self.totals[target]
                del self.recent[target]
