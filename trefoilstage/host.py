"""Run a host from its start until it is drained."""

import asyncio
import json
import sys
import uuid
from functools import partial

from mode import Service

from trefoilstage.assembly import make_parts
from trefoilstage.blackboard import Blackboard
from trefoilstage.components.membership.host_list import HostListController
from trefoilstage.configuration.records import HostDown, HostUp
from trefoilstage.exceptions import HostCrashedError
from trefoilstage.helpers.dump import StateRegistry, dump_component
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.phase import Phase
from trefoilstage.settings import HostSettings

READY_POLL_INTERVAL_S = 0.02
HALTED_CHECK_INTERVAL_S = 0.5
# Refusals of requests that arrive while the port is still open are sent in this time.
REFUSALS_TIMEOUT_S = 1.0


class Host(Service):
    """Run all components of a host on one event loop."""

    def __init__(self, *, settings: HostSettings) -> None:
        super().__init__()
        self._settings = settings
        self.blackboard = Blackboard(
            host=settings.host,
            incarnation=f"{settings.host}-{uuid.uuid4().hex[:12]}",
            data_center=settings.data_center,
        )
        self.drain_requested = asyncio.Event()
        self._registry = StateRegistry()

    async def on_start(self) -> None:
        """Create the components and start each after those that it depends on."""
        parts = make_parts(
            settings=self._settings,
            blackboard=self.blackboard,
            registry=self._registry,
            drain=self.drain_requested.set,
        )
        self._parts = parts
        services = parts.list_services()
        self._register_state(services)
        for service in services:
            await self.add_runtime_dependency(service)
        parts.timer.subscribe(
            name="halted",
            interval_s=HALTED_CHECK_INTERVAL_S,
            callback=self._check_halted,
        )
        await self._announce()

    def _register_state(self, services: list[Service]) -> None:
        self._registry.register("blackboard", lambda: self.blackboard)
        self._registry.register("settings", lambda: self._settings)
        for service in services:
            name = type(service).__name__
            self._registry.register(name, partial(dump_component, service))
        self._registry.register("keys", self._parts.keys.describe)

    async def _announce(self) -> None:
        address = self._settings.address
        peer_url = f"ws://{address}:{self._parts.peer_server.port}"
        record = HostUp(
            host=self._settings.host,
            data_center=self._settings.data_center,
            caller_url=f"http://{address}:{self._parts.caller_server.port}",
            operator_url=f"http://{address}:{self._parts.operator_server.port}",
            peer_url=self._settings.advertised_peer_url or peer_url,
        )
        self._parts.membership.set_announcement(record)
        if self._settings.host_list_url:
            host_list = HostListController(
                blackboard=self.blackboard,
                session=self._parts.session,
                timer=self._parts.timer,
                url=self._settings.host_list_url,
                peer_url=record.peer_url,
            )
            await self.add_runtime_dependency(host_list)
        log_event(
            Event.HOST_STARTED,
            host=self._settings.host,
            incarnation=self.blackboard.incarnation,
            caller_port=self._parts.caller_server.port,
            operator_port=self._parts.operator_server.port,
            peer_port=self._parts.peer_server.port,
        )

    async def run(self) -> None:
        """Serve until a drain is requested or a component fails."""
        ready_task = asyncio.create_task(self.wait_until_ready())
        await self.wait(self.drain_requested)
        ready_task.cancel()
        if self.crashed:
            log_event(
                Event.HOST_CRASHED,
                host=self._settings.host,
                error=describe_error(self.crash_reason),
            )
            raise HostCrashedError(repr(self.crash_reason))
        await self.drain()

    async def _check_halted(self) -> None:
        # This host cannot fold newer records, so it must not answer from an outdated
        # state. A host of the newer version takes over.
        if self._parts.streams.is_halted():
            self.drain_requested.set()

    async def wait_until_ready(self) -> None:
        """Wait until the log has been read to its end, then start serving."""
        while not self._is_ready():
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        self.blackboard.phase = Phase.SERVING
        log_event(Event.HOST_READY, host=self._settings.host)

    def _is_ready(self) -> bool:
        announced = self._settings.host in self.blackboard.config.hosts
        return announced and self._parts.streams.is_caught_up()

    async def drain(self) -> None:
        """Stop accepting requests, finish those in flight and return the draws."""
        self.blackboard.phase = Phase.DRAINING
        log_event(Event.HOST_DRAINING, host=self._settings.host)
        # The balancer notices the failing /health check after a delay. Requests that
        # still arrive until then are refused with a response, not by a closed port.
        grace_ends_at = self._parts.timer.now() + self._settings.drain_grace_s
        all_ended = await self._parts.caller_server.drain(
            self._settings.drain_timeout_s
        )
        if not all_ended:
            await self._parts.caller_server.end_requests(self._settings.flush_timeout_s)
        await self._parts.budget.budget.return_all(self._settings.flush_timeout_s)
        self._parts.streams.submit_config(
            HostDown(incarnation=self.blackboard.incarnation)
        )
        flushed = await self._flush()
        if not all_ended or not flushed:
            log_event(
                Event.DRAIN_INCOMPLETE,
                host=self._settings.host,
                requests_ended=all_ended,
                records_flushed=flushed,
            )
        await asyncio.sleep(max(0.0, grace_ends_at - self._parts.timer.now()))
        await self._parts.caller_server.drain(REFUSALS_TIMEOUT_S)

    async def _flush(self) -> bool:
        # The wait is bounded because a log outage may be long. Once this host has
        # ended, the draws' witnesses release whatever it did not return.
        try:
            async with asyncio.timeout(self._settings.flush_timeout_s):
                await self._parts.streams.flush()
        except TimeoutError:
            return False
        return True

    async def on_stop(self) -> None:
        """Refuse new requests, also if the host stops without a drain."""
        self.blackboard.phase = Phase.DRAINING

    async def on_shutdown(self) -> None:
        """Close the HTTP connections."""
        await self._parts.session.close()
        await self._parts.at_most_once_session.close()
        log_event(Event.HOST_STOPPED, host=self._settings.host)

    def write_state_dump(self) -> None:
        """Write the state dump to standard error as one JSON line."""
        sys.stderr.write(json.dumps(self._registry.dump()) + "\n")
