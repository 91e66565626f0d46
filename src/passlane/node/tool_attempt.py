"""One attempt at a tool call, and the status query of an operation."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import anyio

from passlane.backends.application_client import ApplicationClient
from passlane.backends.failures import BackendError, is_without_answer
from passlane.backends.process_checks import BackendProcess, check_backend, check_lasting
from passlane.configuration.view import ToolOffer
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.backends import ToolRequest
from passlane.node.call_reports import AttemptReport
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram
from passlane.observability.logging import get_logger
from passlane.programs.call_events import (
    AttemptFailed,
    AttemptFinished,
    CallMachineEvent,
    StatusReceived,
)
from passlane.programs.call_instructions import StartAttempt
from passlane.programs.call_plan import CallPlan

_log = get_logger(__name__)


@dataclass(frozen=True)
class ToolAttempt:
    """Runs one attempt at an application and reports it to ``post``."""

    services: CallServices
    program: LedProgram
    plan: CallPlan
    offer: ToolOffer
    arguments: str
    start: StartAttempt
    post: Callable[[CallMachineEvent], None]

    async def run(self) -> None:
        """Run the attempt and report its result."""
        healthy: bool | None = None
        verdict = Verdict.MAY_HAVE_RUN
        event: CallMachineEvent
        try:
            if not self.services.leads(self.program):
                raise self.services.not_leader_error(self.program)
            reply = await self._client().run_tool(
                self.offer.tool.name, self._request(), self.offer.tool.timeout_s
            )
            healthy = True
            verdict = Verdict.RAN
            event = AttemptFinished(self.start.attempt_id, body=reply.result)
        except PasslaneError as error:
            healthy = _health_signal(error)
            verdict = error.verdict
            event = self._failure(error)
            if is_without_answer(error):
                event = replace(event, backend_ended=await self._has_application_ended())
        finally:
            self.services.tools.finish(
                self.offer.application_id, healthy=healthy, now=anyio.current_time()
            )
            report = AttemptReport(self.plan.kind, verdict)
            self.services.reports.publish_attempt(report)
        self.post(event)

    def _client(self) -> ApplicationClient:
        return ApplicationClient(self.services.http, self.offer.application.address)

    def _request(self) -> ToolRequest:
        return ToolRequest(
            operation_id=self.plan.call_id,
            attempt_id=self.start.attempt_id,
            arguments=self.arguments,
        )

    async def _has_application_ended(self) -> bool:
        """Return whether the application's process is gone."""
        check = partial(check_backend, self.services.http, self.offer.application.address)
        state = await check_lasting(check)
        _log.info(
            "application_checked_after_attempt",
            call_id=self.plan.call_id,
            attempt_id=self.start.attempt_id,
            application_id=self.offer.application_id,
            state=state.value,
        )
        return state is not BackendProcess.LIVES

    def _failure(self, error: PasslaneError) -> AttemptFailed:
        is_final = isinstance(error, BackendError) and error.is_final
        # Rejections and lost leadership are not retried and spend no retry budget.
        may_retry = isinstance(error, BackendError) and not is_final
        return AttemptFailed(
            attempt_id=self.start.attempt_id,
            verdict=error.verdict,
            code=error.code,
            message=error.message,
            is_final=is_final,
            retry_allowed=may_retry and self.services.tools.try_retry(self.offer.application_id),
            retry_after_s=error.retry_after_s,
        )


async def query_status(
    services: CallServices,
    offer: ToolOffer,
    plan: CallPlan,
    post: Callable[[CallMachineEvent], None],
) -> None:
    """Query the status of the operation and report ``StatusReceived``."""
    client = ApplicationClient(services.http, offer.application.address)
    try:
        reply = await client.read_status(plan.call_id)
    except PasslaneError:
        post(StatusReceived(None))
        return
    post(StatusReceived(reply.state, reply.result))


def _health_signal(error: PasslaneError) -> bool | None:
    """Return whether the failure shows a healthy application; ``None`` if it shows neither."""
    if not isinstance(error, BackendError):
        return None
    if error.is_final:
        return True
    is_failure = error.verdict is not Verdict.NOT_RUN or error.code is ErrorCode.UNAVAILABLE
    return False if is_failure else None
