"""Read a run from the host that has it."""

from enum import Enum, auto

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.keys.messages import ClaimReply, ReadRun, RunPage
from trefoilstage.components.keys.runs import Run
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.targets.client import TargetBrokenError, parse_chunk
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

READ_TIMEOUT_S = 1.5
RUNNER_LOST = Refusal(
    reason=Reason.TARGET_FAILED,
    effect=Effect.UNKNOWN,
    detail="the host that ran the request was lost before the end of its answer",
    retry_after_s=0.0,
)


class Followed(Enum):
    """Tell how following a run went."""

    ENDED = auto()
    LOST = auto()


class RunFollower:
    """Copy another host's run, page by page."""

    def __init__(self, *, blackboard: Blackboard, links: PeerLinks) -> None:
        self._blackboard = blackboard
        self._links = links

    async def follow(self, run: Run, holder: ClaimReply) -> Followed:
        """Read until the end; lost only while nothing was read."""
        while True:
            page = await self._read_page(run, holder)
            if page is not None and page.found and not add_page(run, page, holder):
                page = None
            if page is None or not page.found:
                if not run.chunks:
                    return Followed.LOST
                # Chunks have gone out to the caller. Another run would yield
                # another text, so the rest can't come from there.
                run.end(RUNNER_LOST)
                return Followed.ENDED
            if page.ended:
                run.end(read_refusal(page))
                return Followed.ENDED

    async def _read_page(self, run: Run, holder: ClaimReply) -> RunPage | None:
        for entry in self._blackboard.config.hosts.values():
            if entry.incarnation == holder.runner:
                break
        else:
            return None
        message = ReadRun(key=run.key, request=holder.request, position=len(run.chunks))
        try:
            reply = await self._links.get_link(entry.peer_url).call(
                message, timeout_s=READ_TIMEOUT_S
            )
        except PeerUnavailableError:
            return None
        return reply if isinstance(reply, RunPage) else None


def add_page(run: Run, page: RunPage, holder: ClaimReply) -> bool:
    """Append a page's chunks; tell whether all were of this run and in order."""
    for data in page.chunks:
        try:
            chunk, sequence = parse_chunk(data, holder.request)
        except TargetBrokenError:
            return False
        if sequence != len(run.chunks):
            return False
        delivery = run.answer.delivery
        delivery.usage = chunk.usage or delivery.usage
        run.add(chunk)
    return True


def read_refusal(page: RunPage) -> Refusal | None:
    """Return the refusal in a page's end."""
    if not page.reason:
        return None
    return Refusal(
        reason=Reason(page.reason),
        effect=Effect(page.effect),
        detail=page.detail,
        retry_after_s=page.retry_after_s,
    )
