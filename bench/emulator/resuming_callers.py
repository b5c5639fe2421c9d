"""Emulate callers that take up streams which broke, naming where they began."""

import asyncio
from dataclasses import replace

from bench.emulator.attempts import get_first_id, name_attempt
from bench.emulator.callers import RETRY_PAUSE_S, Caller
from trefoilstage.helpers.verdict import Refusal

MAX_RESUMPTIONS = 3


class ResumingCaller(Caller):
    """Take a broken stream up at another host, up to MAX_RESUMPTIONS times."""

    async def _send_once(self, deadline: float) -> Refusal | Exception | None:
        result = await super()._send_once(deadline)
        while self._may_resume(deadline):
            await asyncio.sleep(self._get_pause_s(result))
            n_events = self._stream.last_event_id
            self._stream.n_taken_up += 1
            self._request = replace(
                self._request,
                request_id=name_attempt(
                    get_first_id(self._request.request_id), self._stream.n_taken_up
                ),
                resumes=self._stream.first_id,
                last_event_id=str(n_events),
            )
            result = await super()._send_once(deadline)
            has_gone_on = self._stream.last_event_id > n_events
            self._stream.n_gone_on += has_gone_on or self._reply.is_complete
        return result

    def _may_resume(self, deadline: float) -> bool:
        """Return whether the caller holds events of a stream that broke."""
        remaining_s = deadline - asyncio.get_running_loop().time()
        return (
            not self._reply.is_complete
            and bool(self._stream.first_id)
            and self._stream.n_taken_up < MAX_RESUMPTIONS
            and remaining_s > RETRY_PAUSE_S
        )

    def _get_pause_s(self, result: Refusal | Exception | None) -> float:
        retry_after_s = result.retry_after_s if isinstance(result, Refusal) else None
        return max(RETRY_PAUSE_S, retry_after_s or 0.0)
