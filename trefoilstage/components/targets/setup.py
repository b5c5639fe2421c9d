"""Create the services that send requests to targets."""

import random
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.admission.controller import AdmissionController
from trefoilstage.components.budget.controller import BudgetController
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.power.controller import PowerController
from trefoilstage.components.routing.reports import ReportController
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.dispatcher import Dispatcher
from trefoilstage.components.targets.roles import RoleController
from trefoilstage.components.targets.serving_check import ServingCheck
from trefoilstage.settings import HostSettings
from trefoilstage.timer import TimerService


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetParts:
    """Group the services that send requests to targets."""

    power: PowerController
    reports: ReportController
    roles: RoleController
    admission: AdmissionController
    dispatcher: Dispatcher


def make_target_parts(
    *,
    settings: HostSettings,
    blackboard: Blackboard,
    streams: Streams,
    budget: BudgetController,
    targets: TargetClient,
    timer: TimerService,
    generator: random.Random,
) -> TargetParts:
    """Return the services that send requests to targets, not yet started."""
    router = Router(
        blackboard=blackboard, policy=settings.routing_policy, generator=generator
    )
    power = PowerController(
        blackboard=blackboard,
        streams=streams,
        budget=budget,
        targets=targets,
        timer=timer,
        suspect_after_s=settings.suspect_after_s,
    )
    admission = AdmissionController(
        blackboard=blackboard,
        power=power,
        router=router,
        timer=timer,
        queue_limit=settings.queue_limit,
        queue_wait_s=settings.queue_wait_s,
    )
    return TargetParts(
        power=power,
        reports=ReportController(
            blackboard=blackboard, targets=targets, router=router, timer=timer
        ),
        roles=RoleController(blackboard=blackboard, targets=targets, timer=timer),
        admission=admission,
        dispatcher=Dispatcher(
            blackboard=blackboard,
            targets=targets,
            admission=admission,
            power=power,
            router=router,
            serving_check=ServingCheck(
                blackboard=blackboard, targets=targets, timer=timer
            ),
            timer=timer,
        ),
    )
