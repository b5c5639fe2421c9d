"""Sample metrics of a host and send them to a StatsD server."""

from collections.abc import Callable, Mapping

import eliot
from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.operators.descriptions import describe_budgets
from trefoilstage.helpers.metrics import EventMeter, StatsdMetrics
from trefoilstage.timer import TimerService

SAMPLE_INTERVAL_S = 5.0


class MetricsController(Service):
    """Send gauges sampled from the blackboard, and counts of logged events."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        timer: TimerService,
        metrics: StatsdMetrics,
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._timer = timer
        self._metrics = metrics
        self._gauges = gauges
        self._meter = EventMeter(metrics=metrics)
        self._n_appends = 0
        self._due = 0.0

    async def on_start(self) -> None:
        """Start counting events and sampling."""
        eliot.add_destinations(self._meter)
        self._due = self._timer.now() + SAMPLE_INTERVAL_S
        self._unsubscribe = self._timer.subscribe(
            name="metrics", interval_s=SAMPLE_INTERVAL_S, callback=self._sample
        )

    async def on_stop(self) -> None:
        """Stop sampling and send the remaining metrics."""
        self._unsubscribe()
        eliot.remove_destination(self._meter)
        self._metrics.flush()

    async def _sample(self) -> None:
        # A late tick shows how long the event loop was busy, which delayed every
        # request in the meantime.
        self._metrics.gauge("loop_lag_s", max(0.0, self._timer.now() - self._due))
        self._due = self._timer.now() + SAMPLE_INTERVAL_S
        self._sample_requests()
        self._sample_log()
        self._sample_budgets()
        for name, get_value in self._gauges.items():
            self._metrics.gauge(name, get_value())
        self._metrics.flush()

    def _sample_requests(self) -> None:
        board = self._blackboard
        self._metrics.gauge("requests.active", board.n_active)
        self._metrics.gauge("requests.closing", len(board.closing))
        in_flight = sum(status.active for status in board.targets.values())
        self._metrics.gauge("targets.active", in_flight)
        self._metrics.gauge("peers.live", len(board.list_live_peers()))

    def _sample_log(self) -> None:
        statuses = self._blackboard.streams.values()
        self._metrics.gauge("log.streams", len(statuses))
        reachable = sum(status.reachable for status in statuses)
        self._metrics.gauge("log.reachable", reachable)
        self._metrics.gauge("log.caught_up", sum(item.caught_up for item in statuses))
        self._metrics.gauge("config.revision", self._blackboard.config.revision)
        streams = [self._streams.config, *self._streams.ledgers.values()]
        n_appends = sum(stream.n_appends for stream in streams)
        self._metrics.count("log.appends", n_appends - self._n_appends)
        self._n_appends = n_appends

    def _sample_budgets(self) -> None:
        budgets = describe_budgets(self._blackboard)
        self._metrics.gauge("budgets.spent", sum(item.spent for item in budgets))
        self._metrics.gauge("budgets.held", sum(item.held for item in budgets))
        self._metrics.gauge("budgets.free", sum(item.free for item in budgets))
        self._metrics.gauge("budgets.doubtful", sum(item.doubtful for item in budgets))
        n_empty = sum(item.free <= 0 for item in budgets)
        self._metrics.gauge("budgets.empty", n_empty)
