"""Create the budget services of one host."""

import random
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.controller import BudgetController
from trefoilstage.components.budget.draw_requester import DrawRequester
from trefoilstage.components.budget.peers import BudgetPeers
from trefoilstage.components.budget.policy import DrawPolicy
from trefoilstage.components.budget.recovery import Canceller, RecoveryController
from trefoilstage.components.budget.witness import WitnessController
from trefoilstage.components.budget.witness_client import WitnessClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.settings import HostSettings
from trefoilstage.timer import TimerService


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetParts:
    """Group the budget services of one host."""

    budget: BudgetController
    witness: WitnessController
    recovery: RecoveryController


def make_budget_parts(
    *,
    settings: HostSettings,
    blackboard: Blackboard,
    streams: Streams,
    links: PeerLinks,
    server: PeerServer,
    targets: TargetClient,
    timer: TimerService,
    generator: random.Random,
) -> BudgetParts:
    """Return the budget services of one host, not yet started."""
    accounts = Accounts(blackboard=blackboard)
    witnesses = WitnessClient(
        blackboard=blackboard,
        accounts=accounts,
        links=links,
        timer=timer,
        timeout_s=settings.witness_timeout_s,
    )
    policy = DrawPolicy(
        kind=settings.budget_policy,
        horizon_s=settings.draw_horizon_s,
        fixed_draw_tokens=settings.fixed_draw_tokens,
    )
    peers = BudgetPeers(
        blackboard=blackboard,
        accounts=accounts,
        links=links,
        recovery=settings.recovery,
        ask_timeout_s=settings.witness_timeout_s,
        generator=generator,
    )
    drawing = DrawRequester(
        accounts=accounts, streams=streams, peers=peers, timer=timer, policy=policy
    )
    return BudgetParts(
        budget=BudgetController(
            blackboard=blackboard,
            streams=streams,
            server=server,
            accounts=accounts,
            drawing=drawing,
            peers=peers,
            witnesses=witnesses,
            timer=timer,
            policy=policy,
            admission_wait_s=settings.admission_wait_s,
        ),
        witness=WitnessController(
            blackboard=blackboard,
            streams=streams,
            server=server,
            timer=timer,
            suspect_after_s=settings.suspect_after_s,
        ),
        recovery=RecoveryController(
            blackboard=blackboard,
            streams=streams,
            timer=timer,
            cancel=make_canceller(targets),
            grace_s=settings.recovery_grace_s,
        ),
    )


def make_canceller(targets: TargetClient) -> Canceller:
    """Return a function that cancels a request at an address and returns its spend.

    It returns None if the request may still run, or if the target does not respond.
    """

    async def cancel(url: str, request: str) -> int | None:
        target = TargetConfig.model_construct(url=url)
        status = await targets.cancel(target, request)
        # A request that has not ended may still spend tokens.
        return status.usage.total if status and status.ended else None

    return cancel
