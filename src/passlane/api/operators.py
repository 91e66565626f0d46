"""The operators' HTTP interface, served by every process.

Requests about the configuration go to the control group, and requests about programs to the
region's store group. The log is that of the process.
"""

import random as random_module
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from passlane.api.asgi import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    json_response,
    read_request,
    request_headers,
    send_response,
)
from passlane.api.document_routes import OK, DocumentRoutes, Handler
from passlane.api.explanation_routes import ExplanationRoutes
from passlane.api.groups import GroupExecutor, NamedGroup
from passlane.api.operator_problems import problem_response
from passlane.api.operator_views import SystemStatus, replica_views
from passlane.api.routing import PathRouter
from passlane.api.tokens import require_token
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.base import Message
from passlane.messages.control import NO_REVISION, ControlStatus, ReadControlStatus
from passlane.messages.membership import Members, NodeView, ReadMembers
from passlane.messages.number_bounds import parse_count
from passlane.messages.store import (
    ListPrograms,
    ProgramList,
    ProgramResult,
    ReadProgram,
    StoreRefusal,
)
from passlane.observability.logging import get_logger
from passlane.settings.model import Settings
from passlane.transport.interfaces import Caller

MAX_BODY_BYTES = 1_000_000
STORE_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 3.0
DEFAULT_LOG_LINES = 200

_log = get_logger(__name__)


class LogRing(Protocol):
    """The newest log lines of the process; see ``observability.ring.RingLog``."""

    def lines(self, newest: int | None = None) -> list[bytes]:
        """Return the newest lines, oldest first, each as JSON."""
        ...


def build_operator_application(
    settings: Settings,
    *,
    control: GroupExecutor,
    store: GroupExecutor,
    ring: LogRing,
    random: random_module.Random,
    caller: Caller | None = None,
) -> "OperatorApplication":
    """Return the ASGI application of the operators' interface.

    Parameters
    ----------
    control, store
        Clients of the control group and of the region's store group.
    ring
        The process's log.
    random
        Source of idempotency keys for changes without one.
    caller
        Connections to the nodes, for explanations of programs; ``None`` leaves out that route.
    """
    control = NamedGroup("control group", control)
    store = NamedGroup("store group", store)
    router: PathRouter[Handler] = PathRouter()
    DocumentRoutes(control, random).add_to(router)
    StatusRoutes(settings, control, store, ring).add_to(router)
    if caller is not None:
        ExplanationRoutes(store, caller).add_to(router)
    return OperatorApplication(settings, router)


class OperatorApplication:
    """Checks operators' tokens, routes requests, and turns errors into problem responses."""

    def __init__(self, settings: Settings, router: PathRouter[Handler]) -> None:
        self._tokens = settings.security.operators
        self._router = router

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection; only HTTP is supported."""
        if scope["type"] != "http":
            return
        await send_response(send, await self._respond(scope, receive))

    async def _respond(self, scope: Scope, receive: Receive) -> Response:
        try:
            require_token(request_headers(scope), self._tokens)
            request = await read_request(scope, receive, MAX_BODY_BYTES)
            route = self._router.find(request.method, request.path)
            return await route.handler(request, route.parameters)
        except PasslaneError as error:
            return problem_response(error)
        except Exception:
            _log.exception("operator_request_failed", path=scope["path"])
            return problem_response(
                PasslaneError(
                    ErrorCode.INTERNAL,
                    "internal error; see the log",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            )


class StatusRoutes:
    """Routes for programs, the log and the status of the system."""

    def __init__(
        self,
        settings: Settings,
        control: GroupExecutor,
        store: GroupExecutor,
        ring: LogRing,
    ) -> None:
        self._settings = settings
        self._control = control
        self._store = store
        self._ring = ring

    def add_to(self, router: PathRouter[Handler]) -> None:
        """Register the routes."""
        router.add("GET", "/v1/status", self.read_status)
        router.add("GET", "/v1/programs", self.list_programs)
        router.add("GET", "/v1/programs/{id}", self.read_program)
        router.add("GET", "/v1/log", self.read_log)

    async def list_programs(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with a summary of each program of the region."""
        return json_response(OK, await self._query_store(ListPrograms(), ProgramList))

    async def read_program(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the record of a program."""
        query = ReadProgram(program_id=ProgramId(parameters["id"]))
        result = await self._query_store(query, ProgramResult)
        return json_response(OK, result.record)

    async def read_log(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the newest lines of this process's log, oldest first."""
        text = request.query.get("lines", str(DEFAULT_LOG_LINES))
        lines = [msgspec.Raw(line) for line in self._ring.lines(parse_count(text))]
        return json_response(OK, lines)

    async def read_status(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the state of the control group, the regions and the region's nodes.

        A group that does not answer is reported in ``problems`` instead of failing the
        request, because the status is needed most during an outage.
        """
        problems: list[str] = []
        status: ControlStatus | None = None
        nodes: tuple[NodeView, ...] = ()
        try:
            status = await self._control.execute(
                ReadControlStatus(), ControlStatus, timeout_s=STATUS_TIMEOUT_S
            )
        except PasslaneError as error:
            problems.append(error.message)
        try:
            members = await self._store.execute(ReadMembers(), Members, timeout_s=STATUS_TIMEOUT_S)
            nodes = members.nodes
        except PasslaneError as error:
            problems.append(error.message)
        return json_response(OK, self._system_status(status, nodes, problems))

    def _system_status(
        self, status: ControlStatus | None, nodes: tuple[NodeView, ...], problems: list[str]
    ) -> SystemStatus:
        process = self._settings.process
        return SystemStatus(
            process=process.name,
            region=process.region,
            zone=process.zone,
            control_members=replica_views(self._settings.control_addresses, status),
            store_members=self._settings.store_addresses,
            control_term=status.term if status else 0,
            newest_revision=status.newest_revision if status else NO_REVISION,
            accepted_revision=status.accepted_revision if status else NO_REVISION,
            pending_count=status.pending_count if status else 0,
            pending=status.pending if status else (),
            regions=status.regions if status else (),
            nodes=nodes,
            calls_in_flight=None,
            problems=tuple(problems),
        )

    async def _query_store(self, query: Message, reply: type[Any]) -> Any:
        answer = await self._store.execute(query, Message, timeout_s=STORE_TIMEOUT_S)
        if isinstance(answer, StoreRefusal):
            raise PasslaneError(answer.code, answer.message)
        if not isinstance(answer, reply):
            raise PasslaneError(ErrorCode.PROTOCOL_ERROR, "unexpected reply from the store group")
        return answer
