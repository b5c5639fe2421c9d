"""Record how the runs of requests ended, to find those that crash targets."""

from trefoilstage.components.crashes.completed_runs import Run
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.components.crashes.watcher import (
    MAX_SUSPECT_PROGRESS_S,
    CrashWatcher,
)
from trefoilstage.components.forwarding.answers import OpenAnswer
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.helpers.events import Event, log_event


class RunRecorder:
    """Report to the crash watcher which runs were interrupted and which were not."""

    def __init__(self, *, crashes: CrashWatcher) -> None:
        self._crashes = crashes

    def record_broken(
        self, state: RequestState, target: TargetEntry, error: str
    ) -> None:
        """Record that a target broke off a response or sent none."""
        log_event(
            Event.ANSWER_BROKEN,
            request=state.request.request_id,
            fingerprint=state.fingerprint,
            parts=describe_parts(state.parts),
            workspace=state.workspace_name,
            target=target.name,
            version=target.version,
            error=error,
            events=state.n_events,
            progress_s=state.progress_s,
        )
        self._crashes.record_interruption(
            make_run(state, target), progress_s=state.progress_s
        )

    def record_cancelled(self, state: RequestState, target: TargetEntry) -> None:
        """Record that a caller left, or its deadline passed, before the end."""
        self._crashes.record_caller_left(
            make_run(state, target), progress_s=state.progress_s
        )

    def record_progress(self, state: RequestState) -> None:
        """Record that a target has been answering for a while."""
        if state.progress_s > MAX_SUSPECT_PROGRESS_S and not state.is_proven_harmless:
            state.is_proven_harmless = True
            self._crashes.record_harmless(state.fingerprint, state.parts)

    def record_completed(
        self, state: RequestState, target: TargetEntry, answer: OpenAnswer
    ) -> None:
        """Record that a target ran a request to its end."""
        self._crashes.record_completed(
            make_run(state, target),
            progress_s=state.progress_s,
            is_end_certain=answer.is_framed,
        )


def make_run(state: RequestState, target: TargetEntry) -> Run:
    """Return a request at a target as the crash watcher knows it."""
    return Run(
        fingerprint=state.fingerprint,
        parts=state.parts,
        target=target.incarnation,
        address=target.address,
    )
