"""Copy a run from the host that runs it."""

from enum import Enum, auto

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.keys.messages import ClaimReply, ReadRun, RunPage
from trefoilstage.components.keys.runs import Run
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.targets.client import TargetBrokenError, parse_chunk
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

READ_TIMEOUT_S = 1.5
RUNNER_LOST_REFUSAL = Refusal(
    reason=Reason.TARGET_FAILED,
    effect=Effect.UNKNOWN,
    detail="the host that ran the request was lost before its answer was complete",
    retry_after_s=0.0,
)


class FollowResult(Enum):
    """List the results of following a run."""

    ENDED = auto()
    LOST = auto()


class RunFollower:
    """Copy a peer host's run, page by page."""

    def __init__(self, *, blackboard: Blackboard, links: PeerLinks) -> None:
        self._blackboard = blackboard
        self._links = links

    async def follow(self, run: Run, claim: ClaimReply) -> FollowResult:
        """Read until the run ends; return LOST only if no chunk was received."""
        while True:
            page = await self._read_page(run, claim)
            if page is not None and page.found and not append_page(run, page, claim):
                page = None
            if page is None or not page.found:
                if not run.chunks:
                    return FollowResult.LOST
                # The caller has already received chunks. A new run would generate
                # a different text, so it can't supply the rest.
                run.end(RUNNER_LOST_REFUSAL)
                return FollowResult.ENDED
            if page.ended:
                refusal = make_refusal(page)
                is_cut = refusal is not None and refusal.reason is Reason.SHUTTING_DOWN
                if is_cut and not run.chunks:
                    return FollowResult.LOST
                run.end(refusal)
                return FollowResult.ENDED

    async def _read_page(self, run: Run, claim: ClaimReply) -> RunPage | None:
        for entry in self._blackboard.config.hosts.values():
            if entry.incarnation == claim.runner:
                break
        else:
            return None
        message = ReadRun(key=run.key, request=claim.request, position=len(run.chunks))
        try:
            reply = await self._links.get_link(entry.peer_url).call(
                message, timeout_s=READ_TIMEOUT_S
            )
        except PeerUnavailableError:
            return None
        return reply if isinstance(reply, RunPage) else None


def append_page(run: Run, page: RunPage, claim: ClaimReply) -> bool:
    """Append a page's chunks; return whether all were of this run and in order."""
    for data in page.chunks:
        try:
            chunk, sequence = parse_chunk(data, claim.request)
        except TargetBrokenError:
            return False
        if sequence != len(run.chunks):
            return False
        job_result = run.result.job_result
        job_result.usage = chunk.usage or job_result.usage
        run.add(chunk)
    return True


def make_refusal(page: RunPage) -> Refusal | None:
    """Return the refusal that ended the run, None if the page has none."""
    if not page.reason:
        return None
    return Refusal(
        reason=Reason(page.reason),
        effect=Effect(page.effect),
        detail=page.detail,
        retry_after_s=page.retry_after_s,
    )
