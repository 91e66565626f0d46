"""One attempt at a model call: records the hold, then reads the engine's stream."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import anyio
import xxhash

from passlane.backends.failures import BackendError, is_without_answer
from passlane.backends.process_checks import BackendProcess, check_engine, check_lasting
from passlane.decisions.inputs.call_events import CallEnded
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import EngineId
from passlane.messages.backends import EngineChatRequest, EngineChunk
from passlane.messages.store import EngineHold
from passlane.node.call_reports import AttemptReport
from passlane.node.call_services import LEADERSHIP_CODES, CallServices
from passlane.node.fencing import chat_token
from passlane.node.led_program import LedProgram
from passlane.observability.logging import get_logger
from passlane.programs.call_events import (
    AttemptFailed,
    AttemptFinished,
    CallMachineEvent,
    TokenReceived,
)
from passlane.programs.call_instructions import StartAttempt
from passlane.programs.call_plan import CallPlan

MODEL_NOT_LOADED_STATUS = 404
"""HTTP status of an engine that has not loaded the model; another engine may have it."""
OTHER_VERSION_STATUS = 412
"""HTTP status of an engine that does not continue the answer of another software version."""


_log = get_logger(__name__)


@dataclass
class ModelAttempt:
    """Runs one attempt and reports its events to ``post``.

    ``on_hold`` receives the hold with the engine's incarnation, as reported by the engine.
    """

    services: CallServices
    program: LedProgram
    plan: CallPlan
    start: StartAttempt
    post: Callable[[CallMachineEvent], None]
    on_hold: Callable[[EngineHold], None]
    _has_token: bool = False
    _incarnation: int = 0

    @property
    def engine_id(self) -> EngineId:
        """The engine of this attempt."""
        return EngineId(self.start.backend)

    async def run(self) -> None:
        """Run the attempt and report its result to ``post`` and to the scheduler."""
        ended: CallEnded | None = CallEnded(self.plan.call_id, succeeded=False)
        event: AttemptFinished | AttemptFailed
        try:
            final = await self._stream()
            self._record_incarnation(final)
            ended = CallEnded(
                self.plan.call_id,
                succeeded=True,
                prompt_tokens=final.prompt_tokens,
                cached_tokens=final.cached_tokens,
                generated_tokens=final.generated_tokens,
            )
            event = AttemptFinished(
                self.start.attempt_id,
                prompt_tokens=final.prompt_tokens,
                cached_tokens=final.cached_tokens,
                answer_tokens=final.position,
            )
        except PasslaneError as error:
            event = self._failure(error)
            if is_without_answer(error):
                event = replace(event, backend_ended=await self._has_engine_ended())
            if not isinstance(error, BackendError):
                # The store failed or leadership was lost, which is no failure of the engine.
                ended = None
        except anyio.get_cancelled_exc_class():
            self.services.models.withdraw(self.plan.call_id)
            self._report(Verdict.MAY_HAVE_RUN)
            raise
        if ended is None:
            self.services.models.withdraw(self.plan.call_id)
        else:
            self.services.models.note_ended(ended, self.start.backend)
        self._report(event.verdict if isinstance(event, AttemptFailed) else Verdict.RAN)
        self.post(event)

    def _report(self, verdict: Verdict) -> None:
        report = AttemptReport(self.plan.kind, verdict)
        self.services.reports.publish_attempt(report)

    async def _stream(self) -> EngineChunk:
        engine = self.services.configuration().engines.get(self.engine_id)
        if engine is None:
            raise BackendError(
                ErrorCode.UNAVAILABLE, "the engine was removed", verdict=Verdict.NOT_RUN
            )
        self._incarnation = self.services.engines.incarnation_of(self.engine_id)
        await self.services.record_hold(self.program, self.engine_id)
        if not self.services.leads(self.program):
            raise self.services.not_leader_error(self.program)
        client = self.services.engines.client(engine.address)
        return await client.stream_chat(self._request(), self._on_chunk)

    def _request(self) -> EngineChatRequest:
        return EngineChatRequest(
            model=self.plan.target,
            messages=tuple(self.program.turns),
            max_tokens=self.plan.max_tokens,
            attempt_id=self.start.attempt_id,
            program_id=self.program.program_id,
            epoch=chat_token(self.program.epoch),
            priority=self.start.priority,
            seed=xxhash.xxh32_intdigest(self.plan.call_id.encode()),
            resume_from=self.start.resume_from,
            resume_text=self.start.resume_text,
            resume_version=self.start.resume_version,
        )

    def _on_chunk(self, chunk: EngineChunk) -> None:
        if not self._has_token:
            self._has_token = True
            self.services.models.report_first_token(self.plan.call_id)
        self.post(
            TokenReceived(chunk.attempt_id, chunk.position, chunk.text, chunk.software_version)
        )

    def _record_incarnation(self, final: EngineChunk) -> None:
        self.services.engines.record_incarnation(self.engine_id, final.incarnation)
        self.on_hold(EngineHold(engine_id=self.engine_id, incarnation=final.incarnation))

    async def _has_engine_ended(self) -> bool:
        """Return whether the engine's process may be gone, or replaced by another one."""
        engine = self.services.configuration().engines.get(self.engine_id)
        if engine is None:
            return False
        check = partial(check_engine, self.services.http, engine.address, self._incarnation)
        state = await check_lasting(check)
        _log.info(
            "engine_checked_after_attempt",
            call_id=self.plan.call_id,
            attempt_id=self.start.attempt_id,
            engine_id=self.engine_id,
            incarnation=self._incarnation,
            state=state.value,
        )
        return state is not BackendProcess.LIVES

    def _failure(self, error: PasslaneError) -> AttemptFailed:
        is_unrecoverable = error.code in LEADERSHIP_CODES or error.code is ErrorCode.PROGRAM_ENDED
        is_final = isinstance(error, BackendError) and error.is_final
        if isinstance(error, BackendError) and error.status == MODEL_NOT_LOADED_STATUS:
            is_final = False
        is_other_version = (
            isinstance(error, BackendError)
            and error.status == OTHER_VERSION_STATUS
            and error.verdict is Verdict.NOT_RUN
        )
        may_retry = not is_unrecoverable and (
            is_other_version or self.services.models.try_retry(self.start.backend)
        )
        return AttemptFailed(
            attempt_id=self.start.attempt_id,
            verdict=error.verdict,
            code=error.code,
            message=error.message,
            is_final=is_final,
            retry_allowed=may_retry,
            retry_after_s=error.retry_after_s,
            is_other_version=is_other_version,
        )
