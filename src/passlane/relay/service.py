"""Accepts requests to be relayed: matches their routes, serves them and logs how they ended.

Owns the current configuration, the set of requests in flight, and the line ``request_ended``,
whose field ``reason`` is explained in ``relay.end_reasons``. Relies on ``relay.request`` to serve.
"""

from collections.abc import Sequence
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.limits.allowances import Allowances
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.errors import Verdict
from passlane.messages.routes import Route, RouteConfiguration, RouteKind
from passlane.messages.streams import StreamOrigin
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.relay.admission import NodeAdmission
from passlane.relay.announced_versions import AnnouncedVersions
from passlane.relay.backends import AnswerWriter, RelayBackends
from passlane.relay.begun_streams import BegunStreams
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEnd, RequestEndReason, end_of_connection
from passlane.relay.end_reports import EndReports
from passlane.relay.engine_ends import EngineEndWatch
from passlane.relay.forwarded_outputs import ForwardedOutputs
from passlane.relay.local_responses import LocalResponses
from passlane.relay.progress import RequestProgress
from passlane.relay.refused_requests import RefusedRequests
from passlane.relay.request import RequestRelay
from passlane.relay.request_errors import Refusal, RequestRefusedError
from passlane.relay.request_metrics import RequestMetrics
from passlane.relay.request_quota import RequestQuota, limit_of
from passlane.relay.service_waits import ServiceWaits
from passlane.relay.stream_resumption import ResumingRequest, StreamResumption
from passlane.relay.turn_account import TurnAccount, needs_account
from passlane.routes.table import RouteTable, ShareSelector
from passlane.routes.tenants import Identity
from passlane.turns.client import TurnStoreClient

FIRST_CONFIGURATION_TIMEOUT_S = 1.0
"""Seconds after the start during which requests wait for the node's first configuration; a refusal
would cost their callers one of few retries."""

_log = get_logger(__name__)


class _AcceptedRequest(msgspec.Struct, frozen=True):
    """An admitted request, and the configuration that applies to it."""

    call: RelayedCall
    route: Route
    identity: Identity
    table: RouteTable


class RelayService:
    """Relays requests according to the current configuration.

    The composition root creates and owns the components that are passed in.

    Parameters
    ----------
    tasks
        Task group for work that outlives a request.
    admission
        Decides which requests the node admits; without it, all are admitted.
    requests_placement
        Whether the leader of the store group orders and places turns.
    """

    def __init__(
        self,
        node: NodeLocation,
        registry: BackendRegistry,
        backends: RelayBackends,
        store: TurnStoreClient,
        tasks: TaskGroup,
        metrics: Metrics,
        random: Random,
        admission: NodeAdmission | None = None,
        *,
        requests_placement: bool = False,
    ) -> None:
        self._requests_placement = requests_placement
        self._node = node
        self._registry = registry
        self._backends = backends
        self._store = store
        self._tasks = tasks
        self._streams = BegunStreams(store, tasks)
        self._versions = AnnouncedVersions(registry, store)
        self._outputs = ForwardedOutputs(store, tasks)
        self._resumption = StreamResumption(self._streams, registry, store)
        self._refused = RefusedRequests(store)
        reports = EndReports(store, self._refused, tasks)
        self._engine_ends = EngineEndWatch(backends, registry, self._refused, reports, tasks)
        self._table: RouteTable | None = None
        self._table_received = anyio.Event()
        self._started_at = anyio.current_time()
        self._selector = ShareSelector(random)
        self._waits = ServiceWaits(node, random.random)
        self._allowances = Allowances()
        self._in_flight: set[str] = set()
        self._first_answer = anyio.Event()
        self._metrics = RequestMetrics(metrics)
        self._admission = admission or NodeAdmission.unbounded()

    @property
    def configuration(self) -> RouteConfiguration | None:
        """The current configuration."""
        return self._table.configuration if self._table is not None else None

    def replace_configuration(self, configuration: RouteConfiguration) -> None:
        """Apply a configuration from the next request on."""
        self._table = RouteTable(configuration)
        self._waits.retain(configuration.services)
        self._table_received.set()

    async def run(self) -> None:
        """Follow what the store group knows of engines that ended, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refused.follow)
            tasks.start_soon(self._versions.run, self._routes)
            tasks.start_soon(self._engine_ends.run)

    def _routes(self) -> Sequence[Route]:
        return self.configuration.routes if self.configuration is not None else ()

    async def wait_for_answer(self) -> None:
        """Return once the first answer of a backend was forwarded."""
        await self._first_answer.wait()

    async def handle(self, call: RelayedCall, writer: AnswerWriter) -> None:
        """Answer one request.

        Raises
        ------
        AnswerAbortedError
            When the answer had begun and cannot be completed.
        """
        progress = RequestProgress(call.request_id)
        try:
            await self._accept_and_serve(call, writer, progress)
        except anyio.get_cancelled_exc_class():
            if writer.is_abandoned:
                progress.end = end_of_connection(writer.abandon_reason)
            else:
                progress.end = RequestEnd(RequestEndReason.STOPPED)
            raise
        finally:
            self._record_end(call, writer, progress)

    async def _accept_and_serve(
        self, call: RelayedCall, writer: AnswerWriter, progress: RequestProgress
    ) -> None:
        try:
            accepted = await self._accept(call, progress)
        except RequestRefusedError as error:
            await LocalResponses(writer, progress).refuse(error.refusal)
            return
        self._in_flight.add(call.request_id)
        try:
            with self._admission.track(call, anyio.current_time()):
                await self._serve(accepted, writer, progress)
        finally:
            self._in_flight.discard(call.request_id)

    async def _accept(self, call: RelayedCall, progress: RequestProgress) -> _AcceptedRequest:
        """Find the route and the tenant of a request, and check that the node admits it.

        Raises
        ------
        RequestRefusedError
            When it has no route or no valid key, or is not admitted.
        """
        table = await self._wait_for_table()
        progress.version = table.version
        route = table.find(call.host, call.path)
        if route is None:
            raise RequestRefusedError(Refusal.of(RequestEndReason.NO_ROUTE))
        progress.record_route(route)
        identity = table.tenants.identify(route, call.key_digests)
        if identity is None:
            raise RequestRefusedError(Refusal.of(RequestEndReason.NO_KNOWN_KEY))
        progress.tenant = identity.tenant_name
        progress.priority = identity.priority_on(route)
        if call.request_id in self._in_flight:
            raise RequestRefusedError(Refusal.of(RequestEndReason.REQUEST_UNDER_WAY))
        refusal = self._admission.refusal(call, anyio.current_time())
        if refusal is not None:
            raise RequestRefusedError(refusal)
        return _AcceptedRequest(call, route, identity, table)

    async def _wait_for_table(self) -> RouteTable:
        """Return the route table; shortly after the start, wait for it.

        Raises
        ------
        RequestRefusedError
            When no configuration was received in time.
        """
        if self._table is None:
            with anyio.CancelScope(deadline=self._started_at + FIRST_CONFIGURATION_TIMEOUT_S):
                await self._table_received.wait()
        if self._table is None:
            outage_s = anyio.current_time() - self._started_at
            retry_after_s = retry_after_outage_s(outage_s)
            raise RequestRefusedError(Refusal.of(RequestEndReason.NO_CONFIGURATION, retry_after_s))
        return self._table

    async def _serve(
        self, accepted: _AcceptedRequest, writer: AnswerWriter, progress: RequestProgress
    ) -> None:
        service = self._selector.choose(accepted.route)
        resuming = ResumingRequest(accepted.call, accepted.route)
        try:
            origin = await self._resumption.find_origin(resuming)
        except RequestRefusedError as error:
            await LocalResponses(writer, progress).refuse(error.refusal)
            return
        context = self._build_context(accepted, origin.service if origin else service, origin)
        progress.service = context.service.name
        await self._refused.wait_until_known()
        account = self._build_account(context)
        try:
            if account is None:
                await context.require_allowed(Verdict.NOT_RUN)
            else:
                # Its reservation waits for what is unknown, with what all nodes know.
                context.require_not_certain()
        except RequestRefusedError as error:
            progress.request_key = context.request_key
            await LocalResponses(writer, progress).refuse(error.refusal)
            return
        await RequestRelay(context, writer, account, progress).run()

    def _build_context(
        self, accepted: _AcceptedRequest, service_name: str, origin: StreamOrigin | None
    ) -> RequestContext:
        """Bundle what a request for a service needs."""
        service = accepted.table.service(service_name)
        limit = limit_of(accepted.identity, accepted.table.version)
        return RequestContext(
            call=accepted.call,
            route=accepted.route,
            service=service,
            identity=accepted.identity,
            quota=RequestQuota(limit, self._allowances, self._store, self._tasks),
            node=self._node,
            registry=self._registry,
            backends=self._backends,
            waits=self._waits.for_service(service),
            streams=self._streams,
            outputs=self._outputs,
            versions=self._versions,
            engine_ends=self._engine_ends,
            refused=self._refused,
            histories=self._admission.histories,
            answers=self._admission.answers,
            origin=origin,
        )

    def _build_account(self, context: RequestContext) -> TurnAccount | None:
        """Return the account of a turn in the store group; ``None`` for other requests."""
        is_stream = context.route.kind is RouteKind.STREAM
        if not is_stream or not needs_account(context.call, context.route):
            return None
        demand = context.turn_demand if self._requests_placement else None
        return TurnAccount(context, self._store, self._tasks, demand)

    def _record_end(
        self, call: RelayedCall, writer: AnswerWriter, progress: RequestProgress
    ) -> None:
        """Count the request and write its log line."""
        elapsed_s = anyio.current_time() - call.arrived_at
        status = progress.status or (writer.status if writer.has_started else 0)
        if writer.is_finished and progress.tried:
            self._first_answer.set()
        self._metrics.record_end(progress.kind, status, elapsed_s, progress.room_wait_s)
        _log.info(
            "request_ended",
            request_id=call.request_id,
            program_id=call.program.program_id if call.program is not None else None,
            previous_turn=call.previous_turn,
            last_event_id=call.last_event_id,
            resumes=call.resumes,
            software_version=progress.software_version,
            tenant=progress.tenant,
            keys=len(call.key_digests),
            route=progress.route,
            service=progress.service,
            kind=progress.kind,
            priority=progress.priority,
            version=progress.version,
            status=status,
            reason=progress.end.text,
            dropped_headers=call.dropped_headers,
            is_whole=writer.is_finished,
            verdict=progress.verdict.value,
            tried=progress.tried,
            events=progress.events,
            framing=progress.framing,
            unfinished_bytes=progress.unfinished_bytes,
            request_key=progress.request_key,
            reserved_s=_rounded(progress.reserved_s),
            quota_wait_s=_rounded(progress.quota_wait_s),
            place_wait_s=_rounded(progress.place_wait_s),
            first_part_s=_rounded(progress.first_part_s),
            room_wait_s=_rounded(progress.room_wait_s),
            is_in_time=progress.is_in_time(elapsed_s),
            time_left_s=_rounded(call.deadline_at - anyio.current_time()),
            program_time_left_s=_program_time_left_s(call),
            elapsed_s=_rounded(elapsed_s),
        )


def _program_time_left_s(call: RelayedCall) -> float | None:
    """Return the seconds until the deadline of a call's program; ``None`` without one."""
    if call.program is None or call.program.deadline_at is None:
        return None
    return _rounded(call.program.deadline_at - anyio.current_time())


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 4) if seconds is not None else None
