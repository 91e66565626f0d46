"""Verdicts of refused requests for operations that an earlier request may have started.

A caller that lost a response repeats the operation under the same key or sequence number, and
a node that lost a program's leader resends the call. A caller takes ``not_run`` in the refusal
of a repeat as the verdict of the operation itself. Therefore ``not_run`` is only returned when
the program's record shows that nothing ran.
"""

from passlane.errors import Verdict
from passlane.messages.node import CallRefused, CallRequest
from passlane.messages.store import CallKind, CallState
from passlane.node.led_program import LedProgram
from passlane.programs.call_identity import call_id_of


def may_be_repeat(request: CallRequest) -> bool:
    """Return whether an earlier request may have started the same operation."""
    return request.is_resent or (request.kind is CallKind.TOOL and request.is_named)


def verdict_without_record(request: CallRequest) -> Verdict:
    """Return the verdict of a refusal by a process that has not seen the program's record."""
    return Verdict.MAY_HAVE_RUN if may_be_repeat(request) else Verdict.NOT_RUN


class RefusalVerdictResolver:
    """Determines, on the program's leader, the verdict of a refusal of one request."""

    def __init__(self, request: CallRequest) -> None:
        self._request = request
        self._is_first_request = not may_be_repeat(request)

    def apply_record(self, program: LedProgram, *, is_in_flight: bool) -> None:
        """Apply the program's record as it was when the request arrived.

        If the record does not contain the call and the call is neither queued nor running,
        nothing ran before, and the refusal keeps its own verdict.

        Parameters
        ----------
        is_in_flight
            Whether the same call is queued or running here for another request.
        """
        if call_id_of(self._request) not in program.calls and not is_in_flight:
            self._is_first_request = True

    def record_join(self, program: LedProgram) -> None:
        """Record that the request joined the same call, which is queued or running here.

        If the record does not contain the call, the refusal keeps the verdict of that call.
        """
        self.apply_record(program, is_in_flight=False)

    def verdict(self, program: LedProgram | None) -> Verdict:
        """Return the verdict that replaces ``not_run``; ``program`` is the current state."""
        if self._is_first_request:
            return Verdict.NOT_RUN
        call = None if program is None else program.calls.get(call_id_of(self._request))
        if program is None or call is None:
            return Verdict.MAY_HAVE_RUN
        if call.state is CallState.FINISHED and call.outcome is not None:
            return call.outcome.verdict
        open_call = program.open_call
        if open_call is not None and open_call.call.call_id == call.call_id:
            return Verdict.NOT_RUN if open_call.proved_not_run else Verdict.MAY_HAVE_RUN
        return Verdict.MAY_HAVE_RUN


def refusal_with_verdict(refused: CallRefused, verdict: Verdict) -> CallRefused:
    """Return the refusal, with ``verdict`` in place of ``not_run``."""
    if refused.verdict is not Verdict.NOT_RUN:
        return refused
    return CallRefused(refused.code, refused.message, verdict, refused.retry_after_s)
