"""Write the store's records of the configuration and the targets to the board."""

from collections.abc import Callable

from trefoilstage.components.forwarding.models import FleetConfiguration, TargetEntry
from trefoilstage.components.forwarding.routes import RouteTable
from trefoilstage.components.views.follower import REWRITE_S
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event, truncate_text

DecodeConfiguration = Callable[[bytes], FleetConfiguration]
DecodeTarget = Callable[[str, bytes], TargetEntry]


class BoardUpdater:
    """Decode records of the store and update the board."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        configuration_key: str,
        evacuation_prefix: str,
        decode_configuration: DecodeConfiguration,
        decode_target: DecodeTarget,
    ) -> None:
        self._board = board
        self._configuration_key = configuration_key
        self._evacuation_prefix = evacuation_prefix
        self._decode_configuration = decode_configuration
        self._decode_target = decode_target

    def apply_records(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        now: float,
    ) -> None:
        """Apply the records of a topic."""
        for record in records:
            try:
                if topic is Topic.CONFIGURATION:
                    self._apply_operator_record(record, now)
                else:
                    self._apply_target(record, now)
            except MalformedMessageError as error:
                # If a configuration is malformed, the previous one stays in force.
                if topic is Topic.TARGETS:
                    self._board.targets.unlist(record.key)
                log_event(
                    Event.RECORD_MALFORMED,
                    topic=topic,
                    key=truncate_text(record.key),
                    offset=record.offset,
                    error=truncate_text(str(error)),
                )

    def _apply_operator_record(self, record: KeyedRecord, now: float) -> None:
        if record.key == self._configuration_key:
            self._apply_configuration(record)
        elif record.key.startswith(self._evacuation_prefix):
            self._apply_evacuation(record, now)

    def _apply_evacuation(self, record: KeyedRecord, now: float) -> None:
        """Start or end an evacuation; only the key matters, whatever the value says."""
        data_center = record.key.removeprefix(self._evacuation_prefix)
        is_evacuated = record.value is not None
        if is_evacuated:
            self._board.targets.evacuated.add(data_center)
        else:
            self._board.targets.evacuated.discard(data_center)
            self._presume_cold(data_center, now)
        log_event(
            Event.EVACUATION_STARTED if is_evacuated else Event.EVACUATION_ENDED,
            data_center=truncate_text(data_center),
            offset=record.offset,
        )

    def _presume_cold(self, data_center: str, now: float) -> None:
        """Count a data centre's targets as cold after its evacuation.

        They may have been restarted during it, and their entries say so up to a
        heartbeat later than this host uses them again.
        """
        configuration, targets = self._board.configuration, self._board.targets
        if configuration is None:
            return
        for item in list(targets.listed.values()):
            service = configuration.services.get(item.entry.service)
            if item.entry.data_center == data_center and service is not None:
                until = now + service.cold_s
                targets.presume_cold(item.entry.incarnation, until, now)

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        configuration = self._decode_configuration(record.value)
        known = self._board.configuration
        if known is not None and known.version >= configuration.version:
            return
        self._board.configuration = configuration
        self._board.routes = RouteTable(routes=configuration.routes)
        log_event(
            Event.CONFIG_IN_FORCE,
            version=configuration.version,
            offset=record.offset,
            routes=len(configuration.routes),
        )

    def _may_be_from_copy(self, now: float) -> bool:
        """Return whether the store may still have what its copy had."""
        return now - self._board.store.restored_at < REWRITE_S

    def _apply_target(self, record: KeyedRecord, now: float) -> None:
        targets = self._board.targets
        if record.value is None:
            store = self._board.store
            # A peer that reaches the store again first passes on that entries expired
            # in the outage. If the targets were dropped immediately, this host would
            # refuse every request until they register again.
            back_at = max(store.back_at, store.restored_at)
            if store.out_of_reach:
                back_at = now
            targets.apply_removal(record.key, now, back_at)
            log_event(Event.TARGET_DROPPED, target=record.key, offset=record.offset)
            return
        entry = self._decode_target(record.key, record.value)
        known = targets.listed.get(record.key)
        is_older = self._may_be_from_copy(now) and targets.is_older(entry)
        if not is_older:
            targets.record_cold_time(entry, now)
        is_applied = not is_older and targets.apply_entry(entry)
        if not is_applied:
            log_event(
                Event.TARGET_ENTRY_STALE,
                target=entry.name,
                started_ms=entry.started_ms,
                latest_ms=targets.starts[entry.name].latest,
                offset=record.offset,
            )
        elif known is None or known.entry != entry:
            log_event(
                Event.TARGET_LISTED,
                target=entry.name,
                service=entry.service,
                phase=entry.phase,
                version=entry.version,
                started_ms=entry.started_ms,
                offset=record.offset,
            )
