"""Serve operators over HTTP."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

from aiohttp import web
from mode import Service
from pydantic import BaseModel, ValidationError

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.stream import StreamService, Ticket
from trefoilstage.components.log_client.streams import Streams
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
from trefoilstage.components.operators.views import (
    describe_budgets,
    describe_files,
    describe_hosts,
    describe_status,
    describe_targets,
)
from trefoilstage.configuration.fold import NEW_FILE
from trefoilstage.configuration.records import Publish, Remove
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX
from trefoilstage.helpers.dump import StateRegistry, dump_value
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.finding import Finding
from trefoilstage.helpers.http import make_error_middleware
from trefoilstage.helpers.verdict import Reason, Rejected
from trefoilstage.ledger.records import TopUp

BodyT = TypeVar("BodyT", bound=BaseModel)
VERDICT_WAIT_S = 5.0
# Long enough for a few rounds of questions to hundreds of hosts.
DECLARED_S = 120.0
MAX_BODY_BYTES = 1_000_000
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class OperatorServer(Service):
    """Take operators' changes to the log and show what this host knows."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        registry: StateRegistry,
        drain: Callable[[], None],
        address: str,
        port: int,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._registry = registry
        self._drain = drain
        self._address = address
        self.port = port
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Listen."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[make_error_middleware(make_error)],
        )
        app.router.add_get("/state", self._answer_state)
        app.router.add_get("/status", self._answer_status)
        app.router.add_get("/hosts", self._answer_hosts)
        app.router.add_get("/budgets", self._answer_budgets)
        app.router.add_get("/targets", self._answer_targets)
        app.router.add_get("/config/files", self._answer_files)
        app.router.add_get("/config/history", self._answer_history)
        app.router.add_post("/config/publish", self._publish)
        app.router.add_post("/config/remove", self._remove)
        app.router.add_post("/budgets/{name}/top-up", self._top_up)
        app.router.add_post("/drain", self._answer_drain)
        app.router.add_post("/hosts/declare-lost", self._declare_lost)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._registry.dump())

    async def _answer_status(self, request: web.Request) -> web.Response:
        status: StatusAnswer = describe_status(
            self._blackboard, self._streams.is_caught_up()
        )
        return answer_model(status)

    async def _answer_hosts(self, request: web.Request) -> web.Response:
        hosts: list[HostAnswer] = describe_hosts(self._blackboard)
        return answer_models(hosts)

    async def _answer_budgets(self, request: web.Request) -> web.Response:
        budgets: list[BudgetAnswer] = describe_budgets(self._blackboard)
        return answer_models(budgets)

    async def _answer_targets(self, request: web.Request) -> web.Response:
        targets: list[TargetAnswer] = describe_targets(self._blackboard)
        return answer_models(targets)

    async def _answer_files(self, request: web.Request) -> web.Response:
        files: list[FileAnswer] = describe_files(self._blackboard)
        return answer_models(files)

    async def _answer_history(self, request: web.Request) -> web.Response:
        return web.json_response(dump_value(self._blackboard.config.history))

    async def _publish(self, request: web.Request) -> web.Response:
        body = await parse_body(request, PublishBody)
        ticket = self._streams.submit_config(
            Publish(
                operation=body.operation,
                name=body.name,
                content=body.content,
                base_revision=self._pick_base(body.name, body.base_revision),
                author=body.author,
            )
        )
        return await self._answer_verdict(self._streams.config, ticket, body.operation)

    async def _remove(self, request: web.Request) -> web.Response:
        body = await parse_body(request, RemoveBody)
        ticket = self._streams.submit_config(
            Remove(
                operation=body.operation,
                name=body.name,
                base_revision=self._pick_base(body.name, body.base_revision),
                author=body.author,
            )
        )
        return await self._answer_verdict(self._streams.config, ticket, body.operation)

    def _pick_base(self, name: str, base_revision: int | None) -> int:
        if base_revision is not None:
            return base_revision
        present = self._blackboard.config.files.get(name)
        return present.revision if present else NEW_FILE

    async def _top_up(self, request: web.Request) -> web.Response:
        body = await parse_body(request, TopUpBody)
        account = f"{BUDGET_ACCOUNT_PREFIX}{request.match_info['name']}"
        number = self._streams.pick_number(account)
        if number not in self._streams.ledgers:
            answer = VerdictAnswer(
                accepted=False, reason=Reason.NOT_READY, operation=body.operation
            )
            return answer_model(answer, status=HTTP_UNAVAILABLE)
        ticket = self._streams.submit_ledger(
            number,
            TopUp(account=account, amount=body.amount, operation=body.operation),
        )
        stream = self._streams.ledgers[number]
        return await self._answer_verdict(stream, ticket, body.operation)

    async def _answer_verdict(
        self, stream: StreamService, ticket: Ticket, operation: str
    ) -> web.Response:
        try:
            async with asyncio.timeout(VERDICT_WAIT_S):
                verdict = await stream.wait_for_verdict(ticket)
        except TimeoutError:
            # The record may still land. Saying "rejected" here would be false,
            # and the operation makes it safe to ask again.
            answer = VerdictAnswer(
                accepted=False,
                known=False,
                reason=Reason.LOG_UNAVAILABLE,
                detail="no verdict yet; the change may still take effect",
                operation=operation,
            )
            return answer_model(answer, status=HTTP_UNAVAILABLE)
        if isinstance(verdict, Rejected):
            answer = VerdictAnswer(
                accepted=False,
                reason=verdict.reason,
                detail=describe_rejection(verdict),
                findings=list(verdict.findings),
                operation=operation,
            )
            return answer_model(answer, status=HTTP_CONFLICT)
        revision = self._blackboard.config.revision
        return answer_model(
            VerdictAnswer(accepted=True, revision=revision, operation=operation)
        )

    async def _answer_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return answer_model(DrainAnswer(host=self._blackboard.host))

    async def _declare_lost(self, request: web.Request) -> web.Response:
        body = await parse_body(request, DeclareLostBody)
        until = asyncio.get_running_loop().time() + DECLARED_S
        self._blackboard.declared_lost |= dict.fromkeys(body.hosts, until)
        log_event(Event.HOSTS_DECLARED_LOST, hosts=",".join(body.hosts))
        return answer_model(
            DeclareLostAnswer(host=self._blackboard.host, hosts=body.hosts)
        )


async def parse_body(request: web.Request, model: type[BodyT]) -> BodyT:
    """Return a checked body, or answer 400 with every finding."""
    try:
        return model.model_validate_json(await request.read())
    except ValidationError as error:
        answer = VerdictAnswer(
            accepted=False,
            reason=Reason.BAD_REQUEST,
            detail="the body is not what this path expects",
            findings=list_body_findings(error),
        )
        raise web.HTTPBadRequest(
            text=answer.model_dump_json(), content_type="application/json"
        ) from error


def describe_rejection(verdict: Rejected) -> str:
    """Return a rejection's detail with its findings, one a line."""
    return "\n".join([verdict.detail, *map(str, verdict.findings)])


def list_body_findings(error: ValidationError) -> list[Finding]:
    """Return each fault of a body, without what was sent."""
    return [
        Finding(
            file="body",
            line=1,
            key=".".join(map(str, item["loc"])),
            message=item["msg"],
        )
        for item in error.errors(include_input=False, include_url=False)
    ]


def make_error(reason: Reason, status: int) -> web.Response:
    """Return the answer to a call that no handler answered."""
    return answer_model(ErrorAnswer(reason=reason), status=status)


def answer_model(model: BaseModel, *, status: int = 200) -> web.Response:
    """Return a model as JSON."""
    return web.Response(
        text=model.model_dump_json(), status=status, content_type="application/json"
    )


def answer_models(models: Sequence[BaseModel]) -> web.Response:
    """Return models as a JSON list."""
    return web.json_response([model.model_dump(mode="json") for model in models])
