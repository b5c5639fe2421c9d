"""Hold tokens for requests, and settle the holds by what the requests spent."""

import asyncio
import itertools

from trefoilstage.components.escrow.client import EscrowClient, EscrowHold
from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Refusal


class RequestHolds:
    """Hold the most tokens that each request can spend."""

    def __init__(self, *, board: FleetBoard, escrow: EscrowClient) -> None:
        self._board = board
        self._escrow = escrow
        self._hold_numbers = itertools.count()

    async def hold(self, state: RequestState) -> EscrowHold | Refusal:
        """Return a hold for a request, or why there is none."""
        wait_limits = WaitLimits.compute(
            now=state.started_at,
            max_silence_s=state.route.silence_limit_s,
            deadline=state.deadline,
        )
        return await self._escrow.hold(
            state.workspace_name,
            self._make_hold_name(state),
            state.request.max_tokens,
            wait_limits,
        )

    def settle(self, state: RequestState, hold: EscrowHold) -> None:
        """Bill what a request spent, release the rest and log the request."""
        self._escrow.settle(hold, state.count_spent())
        self._log_done(state, hold)

    def _make_hold_name(self, state: RequestState) -> str:
        # A number keeps holds apart if a caller sends two requests with the same id.
        # Otherwise the second request would spend the tokens held for the first.
        number = next(self._hold_numbers)
        return f"{state.request.request_id}/{self._board.host}/{number}"

    def _log_done(self, state: RequestState, hold: EscrowHold) -> None:
        log_event(
            Event.REQUEST_DONE,
            request=state.request.request_id,
            route=state.route.name,
            workspace=hold.workspace,
            home=hold.home,
            complete=state.complete,
            attempts=state.n_sends,
            events=state.n_events,
            held=hold.tokens,
            spent=state.count_spent(),
            target=state.target,
            body_s=state.body_s,
            hold_s=state.held_at - state.started_at,
            first_s=max(0.0, state.caller_first_data_at - state.started_at),
            gap_s=state.longest_gap_s,
            duration_s=asyncio.get_running_loop().time() - state.started_at,
        )
