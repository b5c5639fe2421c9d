"""Bind streams to the version of the target that began them."""

import asyncio
import contextlib

from trefoilstage.components.forwarding.answers import OpenAnswer
from trefoilstage.components.forwarding.failures import (
    STREAM_MOVED,
    STREAM_UNKNOWN,
)
from trefoilstage.components.forwarding.models import RouteKind, TargetEntry
from trefoilstage.components.forwarding.request_state import (
    RequestState,
    StreamSource,
)
from trefoilstage.components.forwarding.start_prover import StartProver
from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.stream_versions.controller import StreamVersions
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.verdict import Refusal

# Longer than the pause between two reads of the targets' entries.
PROOF_TIMEOUT_S = 1.0
PROOF_POLL_S = 0.02


class StartUnprovenError(TrefoilstageError):
    """Raised if a target may have restarted with a version that is not known."""


class StreamBinder:
    """Find, record and check the versions of streams."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        prover: StartProver,
        stream_versions: StreamVersions,
    ) -> None:
        self._board = board
        self._prover = prover
        self._stream_versions = stream_versions

    async def find(self, state: RequestState) -> Refusal | None:
        """Bind a request that takes a stream up, or return why it can't go on."""
        found: StreamVersion | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(state.deadline):
                found = await self._stream_versions.find(
                    state.workspace_name, state.request.resumes
                )
        if found is None:
            return STREAM_UNKNOWN
        services = {share.service for share in state.route.shares if share.weight}
        if found.service not in services:
            return STREAM_MOVED
        state.stream_version = found
        state.service_name = found.service
        return None

    async def bind(
        self, state: RequestState, target: TargetEntry, answer: OpenAnswer
    ) -> None:
        """Bind a new stream to its target's version; check that of another one.

        Call this before an answer's first event is passed on. Raises StartUnprovenError
        if it is not certain that the target runs the version that the stream needs.
        """
        if state.stream_version is not None:
            await self._check_version(target, answer)
        else:
            state.stream_version = StreamVersion(
                service=target.service, version=target.version
            )
            state.stream_source = StreamSource(
                target=target, connected_at=answer.connected_at
            )
        if state.has_passed_events:
            return
        state.has_passed_events = True
        if state.route.kind is RouteKind.STREAM and state.route.resumable:
            self._stream_versions.record(
                state.workspace_name,
                state.stream_ids,
                state.stream_version,
                state.stream_source,
            )

    async def may_continue(self, state: RequestState) -> bool:
        """Return whether the version of the events that the caller holds is certain."""
        source = state.stream_source
        if not state.has_passed_events or source is None:
            return True
        return await self._prover.prove(source.target, source.connected_at)

    def end(self, state: RequestState) -> None:
        """Record that this host no longer serves a stream."""
        if state.has_passed_events:
            self._stream_versions.end(state.workspace_name, state.stream_ids)

    async def _check_version(self, target: TargetEntry, answer: OpenAnswer) -> None:
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + PROOF_TIMEOUT_S
        while not await self._prover.prove(target, answer.connected_at):
            if loop.time() >= wait_until:
                raise StartUnprovenError(f"{target.incarnation} may have restarted")
            await asyncio.sleep(PROOF_POLL_S)
