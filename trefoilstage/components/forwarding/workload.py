"""Share between hosts what each has under way at the targets."""

import asyncio

from mode import Service

from trefoilstage.components.forwarding.messages import TargetWork, WorkReport
from trefoilstage.components.forwarding.placement import Work
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

# A prompt of 12,000 tokens is read in 0.2 s; what others sent half of that ago is
# still worth knowing.
REPORT_S = 0.1
# A prompt this long is told at once: short ones that meet it at a target wait until
# it is read, up to 1.4 s. Told every 0.1 s only, 7% of all streams began late, most
# of them short ones beside a prompt of over 40,000 tokens.
LONG_PROMPT_TOKENS = 2_000
COALESCE_S = 0.003
TELL_TIMEOUT_S = 0.5
# A host that is silent this long is taken to have nothing under way.
MAX_AGE_S = 1.5
NO_WORK = TargetWork(n_requests=0, prompt_tokens=0)


class WorkloadController(Service):
    """Count this host's work at each target and add what the peers report."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
    ) -> None:
        super().__init__()
        self._board = board
        self._links = links
        self._timer = timer
        self._own: dict[str, TargetWork] = {}
        self._others: dict[str, WorkReport] = {}
        self._heard_at: dict[str, float] = {}
        self._told: dict[str, TargetWork] = {}
        self._telling = False
        server.register(WorkReport, self._take_report)

    async def on_start(self) -> None:
        """Start to report."""
        self._unsubscribe = self._timer.subscribe(
            name="workload", interval_s=REPORT_S, callback=self._report
        )

    async def on_stop(self) -> None:
        """Stop reporting."""
        self._unsubscribe()

    def add(self, target: str, *, n_requests: int = 0, prompt_tokens: int = 0) -> None:
        """Count work that begins, or, below 0, ends at a target."""
        known = self._own.get(target, NO_WORK)
        changed = TargetWork(
            n_requests=known.n_requests + n_requests,
            prompt_tokens=known.prompt_tokens + prompt_tokens,
        )
        if changed == NO_WORK:
            self._own.pop(target, None)
        else:
            self._own[target] = changed
        if abs(prompt_tokens) >= LONG_PROMPT_TOKENS and not self._telling:
            self._telling = True
            self.add_future(self._report_soon())

    def get_work(self, target: str) -> Work:
        """Return the work of all hosts at a target, as far as it is known."""
        oldest = self._timer.now() - MAX_AGE_S
        items = [self._own.get(target, NO_WORK)]
        items += [
            report.work[target]
            for host, report in self._others.items()
            if target in report.work and self._heard_at[host] >= oldest
        ]
        return Work(
            n_requests=sum(item.n_requests for item in items),
            prompt_tokens=sum(item.prompt_tokens for item in items),
        )

    async def _report_soon(self) -> None:
        await asyncio.sleep(COALESCE_S)
        self._telling = False
        await self._report()

    async def _report(self) -> None:
        if self._own == self._told:
            return
        self._told = dict(self._own)
        report = WorkReport(host=self._board.host, work=self._told)
        for peer in self._board.peers.values():
            if peer.serving and not peer.failed:
                self.add_future(self._tell(peer.peer_url, report))

    async def _tell(self, url: str, report: WorkReport) -> None:
        try:
            await self._links.get_link(url).tell(report, timeout_s=TELL_TIMEOUT_S)
        except PeerUnavailableError:
            # A hint only; the heartbeats tell whether the peer is lost.
            return

    async def _take_report(self, report: WorkReport) -> None:
        self._others[report.host] = report
        self._heard_at[report.host] = self._timer.now()
