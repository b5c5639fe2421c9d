"""Tell how many requests a target gets at once, and how many KV tokens they may hold.

Prevents idle slots: between busy hosts, the messages from the end of a call to the
start of the next one take 10 to 40 ms, beside calls of 90 ms.
"""

from trefoilstage.components.admission_queue.places import TargetCapacity
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.fleet_board import FleetBoard

# Of a target that runs no engine and is not brittle: while one call runs in a slot, the
# next one waits in the target's own queue.
PLACES_PER_SLOT = 2


def count_capacity(
    board: FleetBoard, target: TargetEntry, *, is_brittle: bool
) -> TargetCapacity:
    """Return what a target holds at once.

    Engines get one request for each slot, since it holds KV cache, and so do brittle
    targets, since they crash above their slots.
    """
    configuration = board.configuration
    service = configuration and configuration.services.get(target.service)
    if service and service.engine is not None:
        return TargetCapacity(places=target.slots, kv_tokens=service.engine.kv_tokens)
    if not service or is_brittle:
        return TargetCapacity(places=target.slots)
    return TargetCapacity(places=PLACES_PER_SLOT * target.slots)
