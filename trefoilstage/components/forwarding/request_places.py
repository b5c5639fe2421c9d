"""Obtain and return the places of requests, where the fleet has an admission queue."""

from contextlib import AbstractContextManager, nullcontext
from typing import TYPE_CHECKING

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.helpers.verdict import Refusal

if TYPE_CHECKING:
    from trefoilstage.components.admission_queue.client import AdmissionClient
    from trefoilstage.components.admission_queue.own_work import Place


class RequestPlaces:
    """Ask an admission queue for places; without one, requests need none."""

    def __init__(self, *, admission: "AdmissionClient | None") -> None:
        self._admission = admission

    async def acquire(self, state: RequestState) -> "Place | Refusal | None":
        """Return a place or a refusal, None if a request needs no place now."""
        return await self._admission.acquire(state) if self._admission else None

    def release(self, place: "Place | None", *, used: bool = True) -> None:
        """Return a place, if there is one."""
        if self._admission is not None and place is not None:
            self._admission.release(place, used=used)

    def count(
        self, state: RequestState, target: TargetEntry, place: "Place | None"
    ) -> AbstractContextManager[None]:
        """Count a request that is sent to a target until it has ended there."""
        if self._admission is None:
            return nullcontext()
        return self._admission.count(state, target, place)
