"""Tell how many requests a target gets at once, and how many KV tokens they may hold.

Answers targets whose slots would be idle while a freed place is granted again.
"""

from trefoilstage.components.admission_queue.places import TargetCapacity
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.fleet_board import FleetBoard

# Of a target that runs no engine. One call runs in a slot while the next one waits in
# the target's own queue. Between busy hosts, the messages from the end of a call to the
# start of the next take 10 to 40 ms, in which the slot of a 90 ms call would be idle.
PLACES_PER_SLOT = 2


def count_capacity(
    board: FleetBoard, target: TargetEntry, now: float
) -> TargetCapacity:
    """Return what a target holds at once.

    Engines get one request for each slot, since it holds KV cache, and so do brittle
    targets, since they fall over above their slots.
    """
    configuration = board.configuration
    service = configuration and configuration.services.get(target.service)
    if service and service.engine is not None:
        return TargetCapacity(slots=target.slots, kv_tokens=service.engine.kv_tokens)
    if board.brittle.is_brittle(target.service, now):
        return TargetCapacity(slots=target.slots)
    return TargetCapacity(slots=PLACES_PER_SLOT * target.slots)
