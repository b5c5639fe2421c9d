"""Serve the operators' interface over HTTP."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

from aiohttp import web
from mode import Service
from pydantic import BaseModel, ValidationError

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.connections.body import read_body
from trefoilstage.components.connections.memory import MemoryLimitError, MemoryPart
from trefoilstage.components.connections.site import (
    READ_AHEAD_BYTES,
    ClientConnections,
    MeteredSite,
    open_account,
)
from trefoilstage.components.forwarding.open_requests import OpenRequests
from trefoilstage.components.log_client.stream import StreamService, Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.operators.descriptions import (
    describe_budgets,
    describe_files,
    describe_hosts,
    describe_status,
    describe_targets,
)
from trefoilstage.components.operators.models import (
    BudgetAnswer,
    DeclareLostAnswer,
    DeclareLostBody,
    DrainAnswer,
    ErrorAnswer,
    FileAnswer,
    HostAnswer,
    PublishBody,
    RemoveBody,
    StatusAnswer,
    TargetAnswer,
    TopUpBody,
    VerdictAnswer,
)
from trefoilstage.configuration.fold import NEW_FILE_REVISION
from trefoilstage.configuration.records import Publish, Remove
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, HEADER_RETRY_AFTER
from trefoilstage.helpers.dump import StateRegistry, dump_value
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.finding import Finding
from trefoilstage.helpers.http import make_error_middleware
from trefoilstage.helpers.verdict import Reason, Rejected
from trefoilstage.ledger.records import TopUp

BodyT = TypeVar("BodyT", bound=BaseModel)
VERDICT_TIMEOUT_S = 5.0
# While the log is in reach, a verdict follows within a few round trips.
STOP_TIMEOUT_S = 0.5
# Long enough to query hundreds of hosts for their log positions a few times.
DECLARED_LOST_TTL_S = 120.0
MAX_BODY_BYTES = 1_000_000
RETRY_AFTER_S = 1
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class OperatorServer(Service):
    """Submit operators' changes to the log and show what this host knows."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        registry: StateRegistry,
        drain: Callable[[], None],
        address: str,
        port: int,
        connections: ClientConnections,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._registry = registry
        self._drain = drain
        self._address = address
        self.port = port
        self._connections = connections
        self._runner: web.AppRunner | None = None
        self._changes = OpenRequests()

    async def on_start(self) -> None:
        """Start listening."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[make_error_middleware(make_error_response)],
        )
        app.router.add_get("/state", self._get_state)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/hosts", self._list_hosts)
        app.router.add_get("/budgets", self._list_budgets)
        app.router.add_get("/targets", self._list_targets)
        app.router.add_get("/config/files", self._list_files)
        app.router.add_get("/config/history", self._get_history)
        app.router.add_post("/config/publish", self._publish_file)
        app.router.add_post("/config/remove", self._remove_file)
        app.router.add_post("/budgets/{name}/top-up", self._top_up_budget)
        app.router.add_post("/drain", self._start_drain)
        app.router.add_post("/hosts/declare-lost", self._declare_hosts_lost)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=1.0, read_bufsize=READ_AHEAD_BYTES
        )
        await self._runner.setup()
        site = MeteredSite(
            self._runner,
            connections=self._connections,
            address=self._address,
            port=self.port,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Answer the changes in progress, then stop listening."""
        if self._runner is not None:
            if not await self._changes.wait_until_done(STOP_TIMEOUT_S):
                await self._changes.end_all()
            await self._runner.cleanup()

    async def _get_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._registry.dump())

    async def _get_status(self, request: web.Request) -> web.Response:
        status: StatusAnswer = describe_status(
            self._blackboard, self._streams.is_caught_up()
        )
        return make_json_response(status)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        hosts: list[HostAnswer] = describe_hosts(self._blackboard)
        return make_json_list_response(hosts)

    async def _list_budgets(self, request: web.Request) -> web.Response:
        budgets: list[BudgetAnswer] = describe_budgets(self._blackboard)
        return make_json_list_response(budgets)

    async def _list_targets(self, request: web.Request) -> web.Response:
        targets: list[TargetAnswer] = describe_targets(self._blackboard)
        return make_json_list_response(targets)

    async def _list_files(self, request: web.Request) -> web.Response:
        files: list[FileAnswer] = describe_files(self._blackboard)
        return make_json_list_response(files)

    async def _get_history(self, request: web.Request) -> web.Response:
        return web.json_response(dump_value(self._blackboard.config.history))

    async def _publish_file(self, request: web.Request) -> web.Response:
        body = await self._parse_body(request, PublishBody)
        ticket = self._streams.submit_config(
            Publish(
                operation=body.operation,
                name=body.name,
                content=body.content,
                base_revision=self._choose_base_revision(body.name, body.base_revision),
                author=body.author,
            )
        )
        return await self._respond_with_verdict(
            self._streams.config, ticket, body.operation
        )

    async def _remove_file(self, request: web.Request) -> web.Response:
        body = await self._parse_body(request, RemoveBody)
        ticket = self._streams.submit_config(
            Remove(
                operation=body.operation,
                name=body.name,
                base_revision=self._choose_base_revision(body.name, body.base_revision),
                author=body.author,
            )
        )
        return await self._respond_with_verdict(
            self._streams.config, ticket, body.operation
        )

    def _choose_base_revision(self, name: str, requested_revision: int | None) -> int:
        if requested_revision is not None:
            return requested_revision
        current_file = self._blackboard.config.files.get(name)
        return current_file.revision if current_file else NEW_FILE_REVISION

    async def _top_up_budget(self, request: web.Request) -> web.Response:
        body = await self._parse_body(request, TopUpBody)
        account = f"{BUDGET_ACCOUNT_PREFIX}{request.match_info['name']}"
        stream_number = self._streams.get_ledger_number(account)
        if stream_number not in self._streams.ledgers:
            answer = VerdictAnswer(
                accepted=False, reason=Reason.NOT_READY, operation=body.operation
            )
            return make_json_response(answer, status=HTTP_UNAVAILABLE)
        ticket = self._streams.submit_ledger(
            stream_number,
            TopUp(account=account, amount=body.amount, operation=body.operation),
        )
        stream = self._streams.ledgers[stream_number]
        return await self._respond_with_verdict(stream, ticket, body.operation)

    async def _parse_body(self, request: web.Request, model: type[BodyT]) -> BodyT:
        account = open_account(request, self._connections.budget)
        with MemoryPart(account=account) as memory:
            body = await read_whole_body(request, memory)
            return validate_body(model, body)

    async def _respond_with_verdict(
        self, stream: StreamService, ticket: Ticket, operation: str
    ) -> web.Response:
        try:
            with self._changes.track():
                async with (
                    self._changes.allow_end(),
                    asyncio.timeout(VERDICT_TIMEOUT_S),
                ):
                    verdict = await stream.wait_for_verdict(ticket)
        except TimeoutError:
            # The record may still be appended, so the change is not reported as
            # rejected. Retrying with the same operation ID is safe.
            answer = VerdictAnswer(
                accepted=False,
                known=False,
                reason=Reason.LOG_UNAVAILABLE,
                detail="no verdict yet; the change may still take effect",
                operation=operation,
            )
            return make_json_response(answer, status=HTTP_UNAVAILABLE)
        if isinstance(verdict, Rejected):
            answer = VerdictAnswer(
                accepted=False,
                reason=verdict.reason,
                detail=describe_rejection(verdict),
                findings=list(verdict.findings),
                operation=operation,
            )
            return make_json_response(answer, status=HTTP_CONFLICT)
        revision = self._blackboard.config.revision
        return make_json_response(
            VerdictAnswer(accepted=True, revision=revision, operation=operation)
        )

    async def _start_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return make_json_response(DrainAnswer(host=self._blackboard.host))

    async def _declare_hosts_lost(self, request: web.Request) -> web.Response:
        body = await self._parse_body(request, DeclareLostBody)
        expires_at = asyncio.get_running_loop().time() + DECLARED_LOST_TTL_S
        self._blackboard.declared_lost |= dict.fromkeys(body.hosts, expires_at)
        log_event(Event.HOSTS_DECLARED_LOST, hosts=",".join(body.hosts))
        return make_json_response(
            DeclareLostAnswer(host=self._blackboard.host, hosts=body.hosts)
        )


async def read_whole_body(request: web.Request, memory: MemoryPart) -> bytes:
    """Return a request's body, or raise the HTTP error for one that is too long."""
    try:
        body = await read_body(request, memory, MAX_BODY_BYTES)
    except MemoryLimitError as error:
        raise web.HTTPServiceUnavailable(
            text=ErrorAnswer(reason=Reason.OVERLOADED).model_dump_json(),
            content_type="application/json",
            headers={HEADER_RETRY_AFTER: str(RETRY_AFTER_S)},
        ) from error
    if len(body) > MAX_BODY_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, len(body))
    return body


def validate_body(model: type[BodyT], body: bytes) -> BodyT:
    """Return the validated body, or raise HTTPBadRequest (400) with all findings."""
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        answer = VerdictAnswer(
            accepted=False,
            reason=Reason.BAD_REQUEST,
            detail="the body does not match the schema of this path",
            findings=list_validation_findings(error),
        )
        raise web.HTTPBadRequest(
            text=answer.model_dump_json(), content_type="application/json"
        ) from error


def describe_rejection(verdict: Rejected) -> str:
    """Return a rejection's detail and its findings, one per line."""
    return "\n".join([verdict.detail, *map(str, verdict.findings)])


def list_validation_findings(error: ValidationError) -> list[Finding]:
    """Return each validation error of a body, without the values that were sent."""
    return [
        Finding(
            file="body",
            line=1,
            key=".".join(map(str, item["loc"])),
            message=item["msg"],
        )
        for item in error.errors(include_input=False, include_url=False)
    ]


def make_error_response(reason: Reason, status: int) -> web.Response:
    """Return the response to a request that no handler answered."""
    return make_json_response(ErrorAnswer(reason=reason), status=status)


def make_json_response(model: BaseModel, *, status: int = 200) -> web.Response:
    """Return a response with a model as JSON."""
    return web.Response(
        text=model.model_dump_json(), status=status, content_type="application/json"
    )


def make_json_list_response(models: Sequence[BaseModel]) -> web.Response:
    """Return a response with models as a JSON list."""
    return web.json_response([model.model_dump(mode="json") for model in models])
