"""Create the followers of the topics that all hosts read."""

from collections.abc import Callable

from trefoilstage.components.views.follower import (
    GetPause,
    ViewFollower,
)
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Store, Topic
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings

# A configuration must be in force within 2 s of its acceptance. The store answers a
# long-poll read immediately on a change; this bounds the wait on a dead connection.
CONFIGURATION_WAIT_S = 1.0
# Each target writes about once a second, so a long-poll read would return for every
# write. A leaving target must get no more requests after the drain time; with five
# reads in that time, the host learns of it early enough even if a read is slow.
TARGET_READS_PER_DRAIN = 5
HOSTS_WAIT_S = 3.0
# If a dead connection hides a crash record, the host still reads it before the targets
# that crashed on the same request have restarted.
CRASHES_WAIT_S = 2.0
# In a large fleet each host's record ends the long-poll reads of all others, for
# instance when all hosts start. Without a pause, the number of reads would grow with
# the square of the number of hosts.
LARGE_FLEET_PAUSE_S = 0.25


def make_followers(
    settings: FleetSettings,
    board: FleetBoard,
    store: Store,
    apply_records: Callable[[Topic, list[KeyedRecord]], None],
    on_restored: Callable[[], None],
) -> dict[Topic, ViewFollower]:
    """Create a follower for each topic that all hosts read."""

    def make_follower(topic: Topic, wait_s: float, get_pause: GetPause) -> ViewFollower:
        return ViewFollower(
            board=board,
            store=store,
            topic=topic,
            wait_s=wait_s,
            get_pause=get_pause,
            on_change=lambda records: apply_records(topic, records),
            on_restored=on_restored,
        )

    targets_pause_s = settings.target_drain_s / TARGET_READS_PER_DRAIN
    return {
        Topic.CONFIGURATION: make_follower(
            Topic.CONFIGURATION, CONFIGURATION_WAIT_S, lambda: 0.0
        ),
        Topic.TARGETS: make_follower(Topic.TARGETS, 0.0, lambda: targets_pause_s),
        Topic.HOSTS: make_follower(
            Topic.HOSTS,
            HOSTS_WAIT_S,
            lambda: LARGE_FLEET_PAUSE_S * board.is_too_large_to_broadcast(),
        ),
        Topic.CRASHES: make_follower(
            Topic.CRASHES,
            CRASHES_WAIT_S,
            lambda: LARGE_FLEET_PAUSE_S * board.is_too_large_to_broadcast(),
        ),
    }
