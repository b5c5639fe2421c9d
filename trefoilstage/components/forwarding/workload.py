"""Share between hosts what each has under way at the targets.

In a small fleet each host tells all others. In a large one it tells, for each target,
only the host that gathers the target's work, and asks that host before it chooses: with
66 hosts that all told each other, the reports took most of their processors.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mode import Service

from trefoilstage.components.forwarding.heard_work import (
    MAX_AGE_S,
    AskedWork,
    HeardWork,
)
from trefoilstage.components.forwarding.messages import (
    AskWork,
    ReadPrompt,
    WorkReport,
    WorkTotals,
)
from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.prompt_cache import PromptCaches
from trefoilstage.components.forwarding.reading_board import ReadingBoard
from trefoilstage.components.forwarding.reading_pace import Reading
from trefoilstage.components.forwarding.work import Work, add_up
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_names

# A prompt of 12,000 tokens is read in 0.2 s; what others sent half of that ago is
# still worth knowing.
REPORT_S = 0.1
# A prompt this long is told at once: short ones that meet it at a target wait until
# it is read, up to 1.4 s. Told every 0.1 s only, 7% of all streams began late, most
# of them short ones beside a prompt of over 40,000 tokens.
LONG_PROMPT_TOKENS = 2_000
COALESCE_S = 0.003
TELL_TIMEOUT_S = 0.5
# A host that was silent longer gathers nothing; as long as a heartbeat may take.
MAX_SILENT_S = 3.0
# Work that goes on is told again before the others take it for ended.
REPEAT_S = MAX_AGE_S / 2
# The gathering host answers in 1 to 2 ms; a choice without its answer goes by what is
# known here.
ASK_TIMEOUT_S = 0.05
# On a full link each call takes longer, the hold beside this one as well. Given up
# earlier, the busiest hosts would choose without knowing of the others' work.
ASK_TIMEOUT_TRIPS = 1.5
MAX_ASK_TIMEOUT_S = 0.5
NO_WORK = Work()


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
        self._own: dict[str, Work] = {}
        self._heard = HeardWork()
        self._asked = AskedWork()
        self._told: dict[str, Work] = {}
        self._told_at: dict[str, float] = {}
        self._telling = False
        self._caches = PromptCaches()
        self._prompts: list[ReadPrompt] = []  # sent and not told yet
        self._readings = ReadingBoard()
        server.register(WorkReport, self._take_report)
        server.register(AskWork, self._answer_work)

    async def on_start(self) -> None:
        """Start to report."""
        self._unsubscribe = self._timer.subscribe(
            name="workload", interval_s=REPORT_S, callback=self._report
        )

    async def on_stop(self) -> None:
        """Stop reporting."""
        self._unsubscribe()

    def add(
        self,
        target: str,
        *,
        n_requests: int = 0,
        prompt_tokens: int = 0,
        held_tokens: int = 0,
    ) -> None:
        """Count work that begins, or, below 0, ends at a target."""
        known = self._own.get(target, NO_WORK)
        more = Work(
            n_requests=n_requests,
            prompt_tokens=prompt_tokens,
            held_tokens=held_tokens,
        )
        changed = add_up([known, more])
        if changed == NO_WORK:
            self._own.pop(target, None)
        else:
            self._own[target] = changed
        if abs(prompt_tokens) >= LONG_PROMPT_TOKENS and not self._telling:
            self._telling = True
            self.add_future(self._report_soon())

    def add_prompt(
        self, target: str, kv_tokens: int, prompt: Sequence[PromptPart]
    ) -> None:
        """Take in that this host sends a target a prompt."""
        sent = ReadPrompt(target=target, kv_tokens=kv_tokens, parts=tuple(prompt))
        self._take_prompts((sent,))
        self._prompts.append(sent)

    def count_kept(self, target: str, prompt: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that a target has in memory."""
        return self._caches.count_kept(target, prompt)

    def note_reading(self, target: str, n_tokens: int, seconds: float) -> None:
        """Count what a target had to read until a prompt's first token came."""
        self._readings.note(target, n_tokens, seconds, self._timer.now())

    def get_pace(self, target: str) -> float:
        """Return the tokens a second that a target reads, as far as it is known."""
        return self._readings.get_pace(target, self._timer.now())

    def get_work(self, target: str) -> Work:
        """Return the work of all hosts at a target, as far as it is known."""
        now = self._timer.now()
        own = self._own.get(target, NO_WORK)
        heard = self._heard.list_work(target, now)
        return add_up([own, *heard, *self._asked.list_work(target, now)])

    async def refresh(
        self, targets: Sequence[str], prompt: Sequence[PromptPart]
    ) -> dict[str, int]:
        """Ask in a large fleet what the other hosts have at some targets.

        Return how many tokens of a prompt each of them has in memory.
        """
        if not self.is_large():
            return {}
        calls = [
            self._ask(home, names, prompt)
            for home, names in self._group_by_home(targets).items()
            if home != self._board.host
        ]
        kept: dict[str, int] = {}
        for answer in await asyncio.gather(*calls):
            kept.update(answer)
        return kept

    async def _ask(
        self, home: str, targets: list[str], prompt: Sequence[PromptPart]
    ) -> dict[str, int]:
        peer = self._board.peers.get(home)
        if peer is None:
            return {}
        message = AskWork(
            host=self._board.host, targets=tuple(targets), prompt=tuple(prompt)
        )
        try:
            link = self._links.get_link(peer.peer_url)
            reply = await link.call(message, timeout_s=self._get_ask_timeout())
        except PeerUnavailableError:
            # The choice goes by this host's own work, as if the others had none.
            return {}
        if not isinstance(reply, WorkTotals):
            return {}
        now = self._timer.now()
        self._asked.take(reply.work, now)
        self._readings.take(home, reply.readings, now)
        return reply.kept

    def _get_ask_timeout(self) -> float:
        trip_s = self._board.round_trips.estimate(self._timer.now())
        wanted_s = max(ASK_TIMEOUT_S, ASK_TIMEOUT_TRIPS * trip_s)
        return min(wanted_s, MAX_ASK_TIMEOUT_S)

    async def _answer_work(self, message: AskWork) -> WorkTotals:
        now = self._timer.now()
        work = {
            target: self._add_up_others(target, now, message.host)
            for target in message.targets
        }
        kept = {
            target: self._caches.count_kept(target, message.prompt)
            for target in message.targets
        }
        readings = {
            target: self._readings.add_up(target, now, without=message.host)
            for target in message.targets
        }
        return WorkTotals(work=work, kept=kept, readings=readings)

    def _add_up_others(self, target: str, now: float, asking: str) -> Work:
        own = self._own.get(target, NO_WORK)
        return add_up([own, *self._heard.list_work(target, now, without=asking)])

    def is_large(self) -> bool:
        """Tell whether targets' work is gathered at one host each."""
        return self._board.is_large()

    def _group_by_home(self, targets: Iterable[str]) -> dict[str, list[str]]:
        live = self._board.list_live_hosts(self._timer.now(), MAX_SILENT_S)
        groups: dict[str, list[str]] = defaultdict(list)
        for target in targets:
            ranked = rank_names(target, live)
            if ranked:
                groups[ranked[0]].append(target)
        return groups

    async def _report_soon(self) -> None:
        await asyncio.sleep(COALESCE_S)
        self._telling = False
        await self._report()

    async def _report(self) -> None:
        now = self._timer.now()
        self._forget_old(now)
        readings = self._readings.take_new(now)
        changed = self._pick_changed(now)
        prompts, self._prompts = self._prompts, []
        changed.update(sent.target for sent in prompts)
        changed.update(readings)
        if not changed:
            return
        self._told = dict(self._own)
        self._note_told(changed, now)
        for host, work in self._pick_audience(changed).items():
            peer = self._board.peers.get(host)
            if peer is not None and peer.serving and not peer.failed:
                report = WorkReport(
                    host=self._board.host,
                    work=work,
                    readings=self._pick_readings(readings, work),
                    prompts=self._pick_prompts(prompts, work),
                )
                self.add_future(self._tell(peer.peer_url, report))

    def _pick_changed(self, now: float) -> set[str]:
        """Return the targets whose work others don't know or would soon forget."""
        return {
            target
            for target in self._own.keys() | self._told.keys()
            if self._own.get(target) != self._told.get(target)
            or now - self._told_at.get(target, -math.inf) >= REPEAT_S
        }

    def _note_told(self, changed: set[str], now: float) -> None:
        told = changed if self.is_large() else self._told.keys()
        self._told_at.update(dict.fromkeys(told, now))
        self._told_at = {
            target: at for target, at in self._told_at.items() if target in self._told
        }

    def _forget_old(self, now: float) -> None:
        listed = self._board.targets.list_incarnations()
        self._caches.forget_others(listed)
        self._readings.forget_others(listed)
        self._heard.forget_old(now)
        self._asked.forget_old(now)

    def _pick_readings(
        self, readings: dict[str, Reading], work: Mapping[str, Work]
    ) -> dict[str, Reading]:
        if not self.is_large():
            return readings
        return {name: item for name, item in readings.items() if name in work}

    def _pick_prompts(
        self, prompts: list[ReadPrompt], work: Mapping[str, Work]
    ) -> tuple[ReadPrompt, ...]:
        if not self.is_large():
            return tuple(prompts)
        return tuple(sent for sent in prompts if sent.target in work)

    def _pick_audience(self, changed: set[str]) -> dict[str, dict[str, Work]]:
        """Return what each host is told: all of this host's work, or its part."""
        if not self.is_large():
            return dict.fromkeys(self._board.peers, self._told)
        homes = self._group_by_home(self._told.keys() | changed)
        return {
            home: {name: self._told.get(name, NO_WORK) for name in names}
            for home, names in homes.items()
            if not changed.isdisjoint(names)
        }

    async def _tell(self, url: str, report: WorkReport) -> None:
        try:
            await self._links.get_link(url).tell(report, timeout_s=TELL_TIMEOUT_S)
        except PeerUnavailableError:
            # A hint only; the heartbeats tell whether the peer is lost.
            return

    async def _take_report(self, report: WorkReport) -> None:
        now = self._timer.now()
        self._heard.take(report.host, report.work, now)
        self._take_prompts(report.prompts)
        self._readings.take(report.host, report.readings, now)

    def _take_prompts(self, prompts: Iterable[ReadPrompt]) -> None:
        for sent in prompts:
            self._caches.add(sent.target, sent.kv_tokens, sent.parts)
